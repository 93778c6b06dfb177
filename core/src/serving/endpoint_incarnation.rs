use {
    super::{
        status_change, EndpointChange, EndpointEntry, EndpointKey, EndpointNotice,
        EndpointRegistry, EndpointRejoin, EndpointStatus, IncarnationTracker, ListedIncarnation,
        PartIndex, StorePosition, SwapStage, WeightBelief,
    },
    crate::{retry::OutlierGuard, time::Micros},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Time for which a digest of an earlier life of its sender counts as late; after that
/// the sender's clock has been set back.
const LATE_DIGEST_WINDOW: Micros = Micros::from_millis(1_500);

/// How the life that somebody tells of stands to the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// It is superseded: what is reported of it says nothing.
    Earlier,
    /// It is the same, as far as is known.
    Same,
    /// Nothing that was known holds any more.
    Later,
}

impl IncarnationOrder {
    /// Compares the starts of two lives; where one is not reported they count as one.
    pub fn of(
        known: Option<u64>,
        reported: Option<u64>,
    ) -> Self {
        match (known, reported) {
            (Some(known), Some(reported)) if reported < known => IncarnationOrder::Earlier,
            (Some(known), Some(reported)) if reported > known => IncarnationOrder::Later,
            _ => IncarnationOrder::Same,
        }
    }
}

/// Place of a digest among those of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestPosition {
    /// Life of the sender.
    pub incarnation: u64,
    /// Number of the digest in that life.
    pub number: u64,
    /// Digests with changes of parts so far, this one included.
    pub changes: u64,
    /// When it came.
    pub at: Micros,
}

/// What a digest is worth by its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestOrder {
    /// It is the next one, or only load was reported in those that are missing.
    Next,
    /// Changes of parts are missing before it.
    Gap,
    /// A later one has come before it.
    Overtaken,
}

/// Which life of an endpoint is known, and who reported of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointIncarnation {
    /// Start of the latest life that anybody reported of, in milliseconds since 1970.
    pub born: Option<u64>,
    /// Start of the life that the list tells of.
    pub listed_born: Option<u64>,
    /// Position of its last row in the list.
    pub row: StorePosition,
    /// Lives that have ended since it is known; what a request learned in one of
    /// them says nothing of this one.
    pub ended: u32,
    /// The latest digest.
    pub digest: Option<DigestPosition>,
    /// What digests tell of lives that were born earlier.
    pub tracker: IncarnationTracker,
}

impl EndpointIncarnation {
    /// Which life the list means.
    pub fn listed(&self) -> ListedIncarnation {
        ListedIncarnation {
            born: self.listed_born,
            row: self.row,
        }
    }

    /// Takes the place of a digest that tells of this life; `is_change` says whether
    /// it has changes of parts.
    pub fn record_digest(
        &mut self,
        reported: DigestPosition,
        is_change: bool,
    ) -> DigestOrder {
        let Some(known) = self.digest else {
            self.digest = Some(reported);
            return DigestOrder::Next;
        };
        let is_late = reported.incarnation < known.incarnation
            && reported.at.since(known.at) < LATE_DIGEST_WINDOW;
        if is_late || (reported.incarnation == known.incarnation && reported.number <= known.number)
        {
            return DigestOrder::Overtaken;
        }
        self.digest = Some(reported);
        let expected = known.changes + u64::from(is_change);
        match reported.incarnation == known.incarnation && reported.changes == expected {
            true => DigestOrder::Next,
            false => DigestOrder::Gap,
        }
    }
}

impl EndpointEntry {
    /// Takes what the list says of an endpoint that is known.
    pub(super) fn apply_listed(
        &mut self,
        notice: &EndpointNotice,
        wanted: EndpointStatus,
    ) -> Option<EndpointChange> {
        let order = IncarnationOrder::of(self.incarnation.born, notice.born);
        // A write of the earlier life may be carried out seconds late.
        if order == IncarnationOrder::Earlier {
            if wanted == EndpointStatus::Serving {
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
        if notice.row.is_told_after(self.incarnation.row) {
            self.incarnation.row = notice.row;
        }
        for (model, version) in &notice.weights {
            // The list lags behind answers and reports, so it never sets back.
            if self
                .weights
                .version(model)
                .is_none_or(|known| known < *version)
            {
                self.weights.learn(model, *version);
            }
        }
        if is_first_listing {
            return self.begin_listing(notice, wanted, is_later);
        }
        self.update_status(wanted)
            .then(|| status_change(wanted, self.id.clone()))
    }

    /// Takes that it is there without being on a list; true where that is news: it was
    /// known to have left, in an earlier life.
    pub(super) fn apply_unlisted(
        &mut self,
        notice: &EndpointNotice,
    ) -> bool {
        let is_later =
            IncarnationOrder::of(self.incarnation.born, notice.born) == IncarnationOrder::Later;
        if self.may_be_present() || !is_later {
            return false;
        }
        self.begin_incarnation(notice.born);
        self.rejoin = EndpointRejoin::Away;
        self.left_at = None;
        true
    }

    /// Takes the first word of the list on a later life: what the earlier one said of
    /// its end is over.
    pub(super) fn begin_listing(
        &mut self,
        notice: &EndpointNotice,
        wanted: EndpointStatus,
        is_later: bool,
    ) -> Option<EndpointChange> {
        let before = self.status;
        self.service.clone_from(&notice.service);
        self.domain.clone_from(&notice.domain);
        self.address = notice.address.unwrap_or(self.address);
        self.slots = notice.slots;
        self.status = wanted;
        self.rejoin = EndpointRejoin::of(wanted);
        self.left_at = None;
        let id = self.id.clone();
        match (wanted, before) {
            (EndpointStatus::Serving, _) if is_later => Some(EndpointChange::Restarts(id)),
            _ if before != wanted => Some(status_change(wanted, id)),
            _ => None,
        }
    }

    /// Begins a later life: the endpoint holds and knows nothing of before. Requests
    /// of ours count until they end.
    pub(super) fn begin_incarnation(
        &mut self,
        born: Option<u64>,
    ) {
        self.weights = WeightBelief::default();
        self.load = None;
        self.parts = PartIndex::default();
        self.is_mirrored = false;
        self.guard = OutlierGuard::default();
        self.answered_at = None;
        self.stage = SwapStage::Idle;
        self.incarnation.born = born;
        self.incarnation.ended += 1;
    }
}

impl EndpointRegistry {
    /// Takes of which life of an endpoint a digest tells. Where that is a later one,
    /// the endpoint stands as before until the list tells of it too.
    pub fn observe_incarnation(
        &mut self,
        key: EndpointKey,
        born: Option<u64>,
        now: Micros,
    ) -> IncarnationOrder {
        let Some(entry) = self.entries.get_mut(key) else {
            return IncarnationOrder::Earlier;
        };
        let order = entry
            .incarnation
            .tracker
            .order(entry.incarnation.born, born, now);
        match order {
            IncarnationOrder::Earlier => {}
            IncarnationOrder::Same => entry.incarnation.born = born.or(entry.incarnation.born),
            IncarnationOrder::Later => entry.begin_incarnation(born),
        }
        order
    }

    /// Ends endpoints at whose address the list tells of one of the same service that
    /// was born later: nothing of them is there any more, whatever their entries say.
    pub fn retire_superseded(&mut self) -> Vec<EndpointChange> {
        let mut latest: BTreeMap<(SocketAddr, &str), u64> = BTreeMap::new();
        for entry in self.entries.values() {
            if let (EndpointStatus::Serving, Some(born)) =
                (entry.status, entry.incarnation.listed_born)
            {
                let known = latest.entry(service_address(entry)).or_insert(born);
                *known = born.max(*known);
            }
        }
        let is_superseded = |(_, entry): &(EndpointKey, &EndpointEntry)| {
            let newest = latest.get(&service_address(entry)).copied();
            IncarnationOrder::of(newest, entry.incarnation.listed_born) == IncarnationOrder::Earlier
        };
        let superseded: Vec<EndpointKey> = self
            .iter()
            .filter(is_superseded)
            .map(|(key, _)| key)
            .collect();
        let mut changes = Vec::new();
        for key in superseded {
            let entry = &mut self.entries[key];
            entry.rejoin = EndpointRejoin::Never;
            if entry.status != EndpointStatus::Leaving {
                entry.status = EndpointStatus::Leaving;
                changes.push(EndpointChange::Leaves(entry.id.clone()));
            }
        }
        self.mark_superseded();
        changes
    }

    /// Marks endpoints at whose address the list shows another one of their service later: after a
    /// crash an endpoint is listed under its old and its new id for some seconds, and requests to
    /// the old one are refused.
    pub fn mark_superseded(&mut self) {
        let mut latest: BTreeMap<(SocketAddr, &str), (EndpointKey, ListedIncarnation)> =
            BTreeMap::new();
        let mut overtaken: Vec<EndpointKey> = Vec::new();
        for (key, entry) in self.iter().filter(|(_, entry)| entry.is_listed()) {
            let listed = entry.incarnation.listed();
            match latest.get(&service_address(entry)) {
                Some((_, known)) if !listed.is_later_than(known) => overtaken.push(key),
                known => {
                    overtaken.extend(known.map(|(earlier, _)| *earlier));
                    latest.insert(service_address(entry), (key, listed));
                }
            }
        }
        for entry in self.entries.values_mut() {
            entry.is_superseded = false;
        }
        for key in overtaken {
            self.entries[key].is_superseded = true;
        }
    }

    /// Key of the endpoint that is at an address now, of those that `is_eligible` admits.
    ///
    /// The entry of one that crashed may still be there beside that of its successor:
    /// the one born later is present, or the one that was listed last. One whose entry
    /// only went is present where no other is.
    pub fn present_at(
        &self,
        address: SocketAddr,
        is_eligible: impl Fn(&EndpointEntry) -> bool,
    ) -> Option<EndpointKey> {
        let is_candidate = |entry: &EndpointEntry| {
            entry.address == address && entry.may_be_present() && is_eligible(entry)
        };
        let mut present: Option<(EndpointKey, &EndpointEntry)> = None;
        for (key, entry) in self.iter().filter(|(_, entry)| is_candidate(entry)) {
            if present.is_none_or(|(_, known)| !takes_precedence(known, entry)) {
                present = Some((key, entry));
            }
        }
        present.map(|(key, _)| key)
    }

    /// Keys of the endpoints that are at their addresses now, of those that `is_eligible` admits;
    /// see [`EndpointRegistry::present_at`]. One pass for all, as greetings go out several times
    /// a second.
    pub fn present(
        &self,
        is_eligible: impl Fn(&EndpointEntry) -> bool,
    ) -> BTreeMap<SocketAddr, EndpointKey> {
        let is_candidate = |entry: &EndpointEntry| entry.may_be_present() && is_eligible(entry);
        let mut present: BTreeMap<SocketAddr, EndpointKey> = BTreeMap::new();
        for (key, entry) in self.iter().filter(|(_, entry)| is_candidate(entry)) {
            let known = present.get(&entry.address).and_then(|key| self.get(*key));
            if known.is_none_or(|known| !takes_precedence(known, entry)) {
                present.insert(entry.address, key);
            }
        }
        present
    }
}

/// Whether the one of two endpoints at an address is present rather than the other.
fn takes_precedence(
    one: &EndpointEntry,
    other: &EndpointEntry,
) -> bool {
    match one.is_listed() == other.is_listed() {
        true => one
            .incarnation
            .listed()
            .is_later_than(&other.incarnation.listed()),
        false => one.is_listed(),
    }
}

fn service_address(entry: &EndpointEntry) -> (SocketAddr, &str) {
    (entry.address, entry.service.as_str())
}
