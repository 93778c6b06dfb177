use crate::{serving::LOST_AFTER, time::Micros};

/// Target latencies, and targets for the gap between events, for which callers wait without an event.
const LATENCY_TARGETS: u64 = 4;
const GAP_TARGETS: u64 = 8;
/// Time before a caller is expected to leave at which it is answered: the way to it, and delays of a
/// busy box.
const ANSWER_MARGIN: Micros = Micros::from_millis(100);

/// How long the callers of a stream wait without an event before they leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerPatience {
    limit: Micros,
}

impl CallerPatience {
    /// Patience on a route with these targets.
    pub fn for_targets(
        latency: Micros,
        gap: Option<Micros>,
    ) -> Self {
        let by_latency = Micros(latency.0 * LATENCY_TARGETS);
        let by_gap = Micros(gap.map_or(0, |gap| gap.0 * GAP_TARGETS));
        CallerPatience {
            limit: LOST_AFTER.max(by_latency).max(by_gap),
        }
    }

    /// Time until a caller that has waited for `waited` is expected to leave.
    pub fn remaining(
        &self,
        waited: Micros,
    ) -> Micros {
        self.limit.since(waited)
    }

    /// Time until such a caller has to be answered, so that it does not leave unanswered.
    pub fn answers_within(
        &self,
        waited: Micros,
    ) -> Micros {
        self.remaining(waited).since(ANSWER_MARGIN)
    }
}
