use super::{
    judge_versions, OutcomeCounts, RolloutOrder, RolloutRecord, RolloutSchedule, RolloutState,
    VersionVerdict,
};

/// Answers of the target version that are required if the baseline has many.
const MIN_TARGET_ANSWERS: u32 = 10;
/// Answers of the baseline from which the target must have answered too.
const BUSY_BASELINE_ANSWERS: u32 = 200;
/// Slots of the target's endpoints that are required, in percent of the baseline's.
const MIN_CAPACITY_PERCENT: u64 = 80;

/// Slots of the endpoints that serve, by version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCapacity {
    /// Slots of the endpoints that the roll-out replaces.
    pub baseline: u64,
    /// Slots of the endpoints of the target version.
    pub target: u64,
}

impl VersionCapacity {
    /// Whether the target's endpoints can serve all requests.
    pub fn can_shift(&self) -> bool {
        self.target > 0 && self.target * 100 >= self.baseline * MIN_CAPACITY_PERCENT
    }
}

/// What one front knows of a roll-out when it decides about it.
#[derive(Debug, Clone, Copy)]
pub struct DecisionInput<'a> {
    /// The operators' order; `None` if it was withdrawn.
    pub order: Option<&'a RolloutOrder>,
    /// The stored record.
    pub record: Option<&'a RolloutRecord>,
    /// A final record that this front has read before, possibly in an earlier era of the store.
    pub known_final: Option<&'a RolloutRecord>,
    /// Outcomes of all fronts.
    pub counts: &'a OutcomeCounts,
    /// Slots of the endpoints.
    pub capacity: VersionCapacity,
    /// Time on the store's monotonic clock, in milliseconds.
    pub store_ms: u64,
}

/// Returns the record that replaces the stored one, if the state of the roll-out changes.
///
/// All fronts that see the same rows decide the same; the one whose write comes first prevails.
pub fn decide_rollout(input: &DecisionInput<'_>) -> Option<RolloutRecord> {
    let Some(order) = input.order else {
        let running = input.record.filter(|record| !record.state.is_final())?;
        return Some(running.end(RolloutState::RolledBack, "withdrawn", input.store_ms));
    };
    let own = input.record.filter(|record| record.order.is_same(order));
    let known_final = input
        .known_final
        .filter(|known| known.order.is_same(order) && own.is_none_or(|own| !own.state.is_final()));
    if let Some(known) = known_final {
        // The store was restored from a snapshot in which the roll-out had not ended.
        return Some(known.clone());
    }
    match own {
        None => Some(RolloutRecord::begin(order, input.record, input.store_ms)),
        Some(record) if record.state.is_final() => None,
        Some(record) => decide_running(record, input),
    }
}

fn decide_running(
    record: &RolloutRecord,
    input: &DecisionInput<'_>,
) -> Option<RolloutRecord> {
    let now = input.store_ms;
    if let VersionVerdict::Worse(fault) = judge_versions(input.counts) {
        return Some(record.end(RolloutState::RolledBack, fault.kind, now));
    }
    let schedule = RolloutSchedule::of(record);
    if now >= schedule.deadline {
        return Some(record.end(RolloutState::RolledBack, "not-proven-in-time", now));
    }
    let is_idle = input.counts.unrepeatable_runs == 0 || now >= schedule.finish_by;
    let can_end = now >= schedule.shifted_at
        && is_idle
        && input.capacity.can_shift()
        && is_compared(input.counts);
    can_end.then(|| record.end(RolloutState::Done, "not-worse", now))
}

/// Whether enough answers of both versions are known. A service with few requests proves nothing,
/// and is moved without.
fn is_compared(counts: &OutcomeCounts) -> bool {
    let sum = counts.sum();
    sum.target.total >= MIN_TARGET_ANSWERS || sum.baseline.total < BUSY_BASELINE_ANSWERS
}
