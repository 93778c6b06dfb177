use {
    super::{
        AnswerOutcome, ExposureMeter, OutcomeCounts, RolloutOrder, RolloutRecord, RolloutSchedule,
        RolloutStage, RolloutState, VersionArm, VersionCapacity, VersionFilter, VersionPreference,
    },
    crate::time::Micros,
};

/// Time after the end of a roll-out for which the replaced versions get no requests; their endpoints
/// stop within it.
const STOP_TIME_MS: u64 = 10_000;

/// Request for which the versions are chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutRequest {
    /// Evenly distributed number from 0 to below 1, derived from the request.
    pub draw: f64,
    /// Whether it may go to the target version while that is compared: it is sent for the first
    /// time, and is not suspected of crashing endpoints.
    pub may_compare: bool,
    /// Whether it may run a second time.
    pub is_repeatable: bool,
}

/// Roll-out of one service, as known to one front.
#[derive(Debug, Clone, Default)]
pub struct ServiceRollout {
    /// The operators' order.
    pub order: Option<RolloutOrder>,
    /// The stored record, as last read.
    pub record: Option<RolloutRecord>,
    /// When the request was sent that read it, or that showed that there is none.
    pub read_at: Option<Micros>,
    /// The store's clock, in milliseconds, and when it showed this time.
    pub store_clock: Option<(u64, Micros)>,
    /// Outcomes of this front's requests.
    pub counts: OutcomeCounts,
    /// Requests of this front.
    pub meter: ExposureMeter,
    /// Slots of the endpoints, by version.
    pub capacity: VersionCapacity,
    /// Whether the store may show another record than the known one, as it was restored from a
    /// snapshot.
    pub needs_read: bool,
}

impl ServiceRollout {
    /// Time on the store's clock.
    pub fn store_ms(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let (store_ms, at) = self.store_clock?;
        Some(store_ms.saturating_add(now.since(at).as_millis()))
    }

    /// Counts the outcome of a request.
    pub fn record_outcome(
        &mut self,
        route: &str,
        arm: VersionArm,
        outcome: AnswerOutcome,
        now: Micros,
    ) {
        let schedule = self.current_record().map(RolloutSchedule::of);
        let stage = match (schedule, self.store_ms(now)) {
            (Some(schedule), Some(store_ms)) => schedule.stage(store_ms),
            _ => RolloutStage::Comparison,
        };
        self.counts.record(route, arm, outcome, stage);
    }

    /// The record, if it belongs to the order in force.
    pub fn current_record(&self) -> Option<&RolloutRecord> {
        let record = self.record.as_ref()?;
        match &self.order {
            Some(order) => record.order.is_same(order).then_some(record),
            None => Some(record),
        }
    }

    /// Whether the roll-out has not ended, or its state is unknown.
    pub fn is_active(&self) -> bool {
        if self.needs_read {
            return true;
        }
        let Some(record) = &self.record else {
            return self.order.is_some() || self.read_at.is_none();
        };
        let is_replaced = self
            .order
            .as_ref()
            .is_some_and(|order| !record.order.is_same(order));
        is_replaced || !record.state.is_final()
    }

    /// Group of a version in the running roll-out.
    pub fn arm_of(
        &self,
        version: &str,
    ) -> Option<VersionArm> {
        let record = self.current_record()?;
        if record.state.is_final() || record.is_rejected(version) {
            return None;
        }
        Some(match record.order.target_version == version {
            true => VersionArm::Target,
            false => VersionArm::Baseline,
        })
    }

    /// Versions that a request may go to. `limit_share` is the operators' limit on requests to a
    /// version that is compared; a record that was read longer ago than `max_age` does not show
    /// whether the roll-out goes on.
    pub fn preference(
        &self,
        request: RolloutRequest,
        limit_share: f64,
        max_age: Micros,
        now: Micros,
    ) -> VersionPreference {
        let baseline = VersionFilter::except(self.unproven_versions());
        let Some(record) = self.current_record() else {
            return VersionPreference::fixed(baseline);
        };
        let target = VersionFilter::only(&record.order.target_version);
        match record.state {
            RolloutState::Done if self.may_have_stopped(record, now) => {
                VersionPreference::fixed(target)
            }
            RolloutState::Done | RolloutState::RolledBack => VersionPreference::fixed(baseline),
            RolloutState::Running => {
                let is_fresh = self.read_at.is_some_and(|at| now.since(at) <= max_age);
                let store_ms = self.store_ms(now).filter(|_| is_fresh);
                let Some(store_ms) = store_ms else {
                    return VersionPreference::fixed(baseline);
                };
                let schedule = RolloutSchedule::of(record);
                match schedule.shifted_share(store_ms) {
                    _ if store_ms >= schedule.deadline => VersionPreference::fixed(baseline),
                    Some(share) if self.capacity.can_shift() => {
                        shift_preference(request, share, target, baseline)
                    }
                    _ => self.compare_preference(request, limit_share, target, baseline),
                }
            }
        }
    }

    /// Whether the endpoints of the replaced versions may have stopped just now.
    fn may_have_stopped(
        &self,
        record: &RolloutRecord,
        now: Micros,
    ) -> bool {
        match (record.ended_ms, self.store_ms(now)) {
            (Some(ended_ms), Some(store_ms)) => store_ms < ended_ms.saturating_add(STOP_TIME_MS),
            _ => true,
        }
    }

    fn compare_preference(
        &self,
        request: RolloutRequest,
        limit_share: f64,
        target: VersionFilter,
        baseline: VersionFilter,
    ) -> VersionPreference {
        let share = ExposureMeter::compare_share(limit_share);
        let is_drawn = request.may_compare && request.draw < share && self.meter.admits(share);
        if !is_drawn {
            return VersionPreference::fixed(baseline);
        }
        VersionPreference {
            preferred: target,
            fallback: Some(baseline),
            is_comparison: true,
        }
    }

    /// Versions that no roll-out has proven: they get no requests beyond the comparison.
    fn unproven_versions(&self) -> Vec<String> {
        let mut versions = self
            .record
            .as_ref()
            .map_or_else(Vec::new, |record| record.rejected.clone());
        let unfinished = self
            .record
            .as_ref()
            .filter(|record| record.state == RolloutState::Running);
        versions.extend(unfinished.map(|record| record.order.target_version.clone()));
        let is_done = |order: &&RolloutOrder| {
            let record = self.record.as_ref();
            record.is_some_and(|r| r.state == RolloutState::Done && r.order.is_same(order))
        };
        let ordered = self.order.as_ref().filter(|order| !is_done(order));
        versions.extend(ordered.map(|order| order.target_version.clone()));
        versions
    }
}

/// Preference during the ramp. Requests that cannot be repeated leave the replaced endpoints in the
/// first half of it, so that they have ended when these stop.
fn shift_preference(
    request: RolloutRequest,
    share: f64,
    target: VersionFilter,
    baseline: VersionFilter,
) -> VersionPreference {
    let share = if request.is_repeatable {
        share
    } else {
        2.0 * share
    };
    if request.draw >= share {
        return VersionPreference::fixed(baseline);
    }
    VersionPreference {
        preferred: target,
        fallback: request.is_repeatable.then_some(baseline),
        is_comparison: false,
    }
}
