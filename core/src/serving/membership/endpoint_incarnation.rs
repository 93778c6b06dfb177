use {
    crate::serving::{
        DigestOrder, DigestPosition, EndpointContact, EndpointEntry, EndpointKey, EndpointRegistry,
        EndpointRest, EngineRate, IncarnationOrder, IncarnationTracker, KnownWeights,
        ListedIncarnation, PartIndex, PlainTime, StatedLimit, StorePosition, SwapStage,
    },
    crate::{retry::OutlierGuard, time::Micros},
};

/// Time for which a digest of an earlier incarnation of its sender counts as late. One that arrives
/// after that shows that the sender's clock was set back.
const LATE_DIGEST_WINDOW: Micros = Micros::from_millis(1_500);

/// Known incarnation of an endpoint, and the sources that reported it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointIncarnation {
    /// Start of the latest incarnation reported by any source, in milliseconds since 1970.
    pub born: Option<u64>,
    /// Start of the incarnation on the list.
    pub listed_born: Option<u64>,
    /// Position of its latest row in the list.
    pub row: StorePosition,
    /// Incarnations that ended since the endpoint became known; results of requests sent to one of
    /// them do not apply to the current one.
    pub ended: u32,
    /// The latest digest.
    pub digest: Option<DigestPosition>,
    /// Detects later incarnations with an earlier start time in digests.
    pub tracker: IncarnationTracker,
}

impl EndpointIncarnation {
    /// The incarnation on the list.
    pub fn listed(&self) -> ListedIncarnation {
        ListedIncarnation {
            born: self.listed_born,
            row: self.row,
        }
    }

    /// Records a digest of this incarnation and checks its position; `is_change` is whether it
    /// contains part changes.
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
    /// Starts a later incarnation: cached parts, weights and load of the previous one are dropped.
    /// Requests that this front sent to the previous one still count until they end.
    pub(in crate::serving) fn begin_incarnation(
        &mut self,
        born: Option<u64>,
    ) {
        self.begin_software(born);
        self.weights = KnownWeights::default();
        self.load = None;
        self.parts = PartIndex::default();
        self.is_mirrored = false;
        self.guard = OutlierGuard::default();
        self.rest = EndpointRest::default();
        self.rate = EngineRate::default();
        self.plain_time = PlainTime::default();
        self.stated_limit = StatedLimit::default();
        self.states_leaving = false;
        self.contact = EndpointContact::default();
        self.answered_at = None;
        self.stage = SwapStage::Idle;
        self.incarnation.born = born;
        self.incarnation.ended += 1;
    }
}

impl EndpointRegistry {
    /// Records the incarnation that a digest reports. If it is a later one, the endpoint keeps its
    /// status until the list reports that incarnation, too.
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
}
