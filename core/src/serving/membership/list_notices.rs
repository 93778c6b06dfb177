//! Effect of notices of the endpoint list on the entry of a known endpoint.

use crate::serving::{
    EndpointChange, EndpointEntry, EndpointNotice, EndpointRejoin, EndpointStatus, IncarnationOrder,
};

impl EndpointEntry {
    /// Applies a list notice about a known endpoint.
    pub(in crate::serving) fn apply_listed(
        &mut self,
        notice: &EndpointNotice,
        listed_status: EndpointStatus,
    ) -> Option<EndpointChange> {
        self.record_listed_software(notice);
        let order = IncarnationOrder::of(self.incarnation.born, notice.born);
        // A write of the earlier incarnation may be applied seconds late.
        if order == IncarnationOrder::Earlier {
            if listed_status == EndpointStatus::Serving {
                self.record_rollback(notice);
            }
            return None;
        }
        self.rollback_notice = None;
        let is_later = order == IncarnationOrder::Later;
        if is_later {
            self.begin_incarnation(notice.born);
        }
        let is_first_listing = IncarnationOrder::of(self.incarnation.listed_born, notice.born)
            == IncarnationOrder::Later;
        self.incarnation.born = notice.born.or(self.incarnation.born);
        self.incarnation.listed_born = notice.born.or(self.incarnation.listed_born);
        if notice.row.is_newer_than(self.incarnation.row) {
            self.incarnation.row = notice.row;
        }
        self.confirm_software(notice);
        for (model, version) in &notice.weights {
            // The list lags behind answers and reports, so it never lowers a version.
            if self
                .weights
                .version(model)
                .is_none_or(|known| known < *version)
            {
                self.weights.set_version(model, *version);
            }
        }
        if is_first_listing {
            return self.begin_listing(notice, listed_status, is_later);
        }
        self.update_status(listed_status)
            .then(|| EndpointChange::of_status(listed_status, self.id.clone()))
    }

    /// Records a report that the endpoint is alive but not on the list; true if it was known to
    /// have left in an earlier incarnation.
    pub(in crate::serving) fn apply_unlisted(
        &mut self,
        notice: &EndpointNotice,
    ) -> bool {
        let is_later =
            IncarnationOrder::of(self.incarnation.born, notice.born) == IncarnationOrder::Later;
        if self.may_be_present() || !is_later {
            return false;
        }
        self.record_listed_software(notice);
        self.begin_incarnation(notice.born);
        self.rejoin = EndpointRejoin::Away;
        self.left_at = None;
        true
    }

    /// Applies the first list notice about a later incarnation, which voids the leave of the
    /// earlier one.
    pub(in crate::serving) fn begin_listing(
        &mut self,
        notice: &EndpointNotice,
        listed_status: EndpointStatus,
        is_later: bool,
    ) -> Option<EndpointChange> {
        let previous = self.status;
        // The row may be older than a response.
        let listed_status = match self.states_leaving {
            true => EndpointStatus::Leaving,
            false => listed_status,
        };
        self.set_service(&notice.service);
        self.domain.clone_from(&notice.domain);
        self.address = notice.address.unwrap_or(self.address);
        self.slots = notice.slots;
        self.status = listed_status;
        self.rejoin = EndpointRejoin::of(listed_status);
        self.left_at = None;
        let id = self.id.clone();
        match (listed_status, previous) {
            (EndpointStatus::Serving, _) if is_later => Some(EndpointChange::Restarts(id)),
            _ if previous != listed_status => Some(EndpointChange::of_status(listed_status, id)),
            _ => None,
        }
    }
}
