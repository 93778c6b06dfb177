use {
    super::SoftwareTag,
    crate::{serving::StorePosition, time::Micros},
    std::collections::BTreeSet,
};

/// What is known of one route.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteEntry {
    /// Software in the route's row.
    pub recorded: BTreeSet<SoftwareTag>,
    /// Position of the row; `None` if there is none.
    pub position: Option<StorePosition>,
    /// Software that must be recorded anew.
    pub expired: BTreeSet<SoftwareTag>,
    /// Software on which streams may have begun here, and which has not been recorded since.
    pub unrecorded: BTreeSet<SoftwareTag>,
    /// Software of listed endpoints that is not recorded yet.
    pub wanted: BTreeSet<SoftwareTag>,
    /// When the latest successful call for this row was sent.
    pub confirmed_at: Option<Micros>,
    /// A caller waits for a read that is sent at this time or later.
    pub confirm_after: Option<Micros>,
    /// Since when no configuration has the route.
    pub unrouted_since: Option<Micros>,
}

impl RouteEntry {
    /// Software on which streams that may still run have begun.
    pub fn used(&self) -> BTreeSet<SoftwareTag> {
        self.recorded.union(&self.expired).copied().collect()
    }

    /// The same, and software on which streams are about to begin; repetitions are possible.
    pub fn used_or_wanted(&self) -> impl Iterator<Item = &SoftwareTag> {
        let used = self.recorded.iter().chain(&self.expired);
        used.chain(&self.wanted)
    }

    /// Records that the row is known as it was when a call was sent.
    pub fn confirm(
        &mut self,
        sent_at: Micros,
    ) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.confirm_after = self.confirm_after.filter(|after| sent_at < *after);
    }
}
