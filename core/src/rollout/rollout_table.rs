use {
    super::{
        RolloutOrder, RolloutRecord, RolloutRequest, RolloutState, ServiceRollout, VersionArm,
        VersionFilter, VersionPreference, VersionSightings,
    },
    crate::{serving::stable_hash, time::Micros},
    std::collections::{BTreeMap, BTreeSet},
};

/// Roll-outs of all services, as known to one front.
#[derive(Debug, Clone, Default)]
pub struct RolloutTable {
    rollouts: BTreeMap<String, ServiceRollout>,
    /// Final records that were read, which a restored store may no longer have.
    known_final: BTreeMap<String, RolloutRecord>,
    /// Versions that may belong to roll-outs that are not known yet.
    pub sightings: VersionSightings,
    /// Services whose orders have not been seen in the full read in progress.
    unconfirmed: Option<BTreeSet<String>>,
}

impl RolloutTable {
    /// Roll-out of a service.
    pub fn get(
        &self,
        service: &str,
    ) -> Option<&ServiceRollout> {
        self.rollouts.get(service)
    }

    /// Roll-out of a service.
    pub fn get_mut(
        &mut self,
        service: &str,
    ) -> Option<&mut ServiceRollout> {
        self.rollouts.get_mut(service)
    }

    /// Services whose roll-outs have not ended.
    pub fn active_services(&self) -> Vec<String> {
        let active = self.rollouts.iter().filter(|(_, r)| r.is_active());
        active.map(|(service, _)| service.clone()).collect()
    }

    /// Whether the versions of endpoints do not matter for any request.
    pub fn is_idle(&self) -> bool {
        self.rollouts.is_empty() && self.sightings.is_settled()
    }

    /// Records an order. Returns whether it is another one than before.
    pub fn set_order(
        &mut self,
        order: RolloutOrder,
    ) -> bool {
        if let Some(unconfirmed) = &mut self.unconfirmed {
            unconfirmed.remove(&order.service);
        }
        let rollout = self.rollouts.entry(order.service.clone()).or_default();
        if rollout.order.as_ref().is_some_and(|o| o.is_same(&order)) {
            rollout.order = Some(order);
            return false;
        }
        *rollout = ServiceRollout {
            order: Some(order),
            record: rollout.record.take(),
            store_clock: rollout.store_clock,
            ..ServiceRollout::default()
        };
        true
    }

    /// Records that the order of a service was withdrawn. Returns whether there was one.
    pub fn withdraw_order(
        &mut self,
        service: &str,
    ) -> bool {
        let rollout = self.rollouts.get_mut(service);
        rollout.is_some_and(|rollout| rollout.order.take().is_some())
    }

    /// Begins a full read of the orders.
    pub fn begin_full_read(&mut self) {
        let ordered = self.rollouts.iter().filter(|(_, r)| r.order.is_some());
        self.unconfirmed = Some(ordered.map(|(service, _)| service.clone()).collect());
    }

    /// Keeps an order that the full read shows but whose row is invalid.
    pub fn confirm_order(
        &mut self,
        service: &str,
    ) {
        if let Some(unconfirmed) = &mut self.unconfirmed {
            unconfirmed.remove(service);
        }
    }

    /// Ends a full read: orders that it did not show are withdrawn. Returns their services.
    pub fn finish_full_read(&mut self) -> Vec<String> {
        let withdrawn = self.unconfirmed.take().unwrap_or_default();
        let withdrawn = withdrawn.into_iter();
        withdrawn
            .filter(|service| self.withdraw_order(service))
            .collect()
    }

    /// Records a read of the stored record, sent at `sent_at`; `store_clock` is the store's clock
    /// and when it showed this time. Returns whether the state has changed.
    pub fn record_read(
        &mut self,
        service: &str,
        record: Option<RolloutRecord>,
        sent_at: Micros,
        store_clock: Option<(u64, Micros)>,
    ) -> bool {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return false;
        };
        rollout.read_at = Some(sent_at);
        rollout.store_clock = store_clock.or(rollout.store_clock);
        let state = |record: &Option<RolloutRecord>| {
            let record = record.as_ref();
            record.map(|record| (record.state, record.order.position))
        };
        let has_changed = state(&rollout.record) != state(&record);
        if let Some(record) = record.as_ref().filter(|record| record.state.is_final()) {
            self.known_final.insert(service.to_string(), record.clone());
        }
        // A store that was restored from a snapshot may show an earlier state of the same roll-out.
        let is_reverted = self.known_final.get(service).is_some_and(|known| {
            let is_current = |order: &RolloutOrder| order.is_same(&known.order);
            let is_earlier = |record: &RolloutRecord| {
                !record.state.is_final() && record.order.is_same(&known.order)
            };
            rollout.order.as_ref().is_none_or(is_current) && record.as_ref().is_none_or(is_earlier)
        });
        rollout.needs_read = is_reverted && rollout.order.is_some();
        if !is_reverted {
            rollout.record = record;
        }
        has_changed && !is_reverted
    }

    /// Makes all records be read again after the store was restored from a snapshot.
    pub fn invalidate(&mut self) {
        for rollout in self.rollouts.values_mut() {
            rollout.needs_read = true;
        }
    }

    /// Final record of a service that was read before.
    pub fn known_final(
        &self,
        service: &str,
    ) -> Option<&RolloutRecord> {
        self.known_final.get(service)
    }

    /// Records that another box reported, for a front that cannot read the store itself.
    pub fn add_reported(
        &mut self,
        record: &RolloutRecord,
    ) {
        let rollout = self
            .rollouts
            .entry(record.order.service.clone())
            .or_default();
        if rollout.record.is_none() && rollout.order.is_none() {
            rollout.record = Some(record.clone());
        }
    }

    /// All known records.
    pub fn records(&self) -> Vec<RolloutRecord> {
        let rollouts = self.rollouts.values();
        rollouts.filter_map(|r| r.record.clone()).collect()
    }

    /// Versions that a request may go to; `None` if all may.
    pub fn preference(
        &self,
        service: &str,
        request: RolloutRequest,
        limit_share: f64,
        max_age: Micros,
        now: Micros,
    ) -> Option<VersionPreference> {
        if self.is_idle() {
            return None;
        }
        let rollout = self.rollouts.get(service);
        let preference =
            rollout.map(|rollout| rollout.preference(request, limit_share, max_age, now));
        let unsettled: Vec<String> = self
            .sightings
            .unsettled(service)
            .map(str::to_string)
            .collect();
        if preference.is_none() && unsettled.is_empty() {
            return None;
        }
        let mut preference =
            preference.unwrap_or_else(|| VersionPreference::fixed(VersionFilter::default()));
        // A version that the roll-out itself names is known.
        let is_named = preference.preferred.only.is_some();
        if !is_named {
            preference.preferred.excluded.extend(unsettled.clone());
        }
        if let Some(fallback) = &mut preference.fallback {
            fallback.excluded.extend(unsettled);
        }
        Some(preference)
    }

    /// Group of a version of a service, if a roll-out compares it.
    pub fn arm_of(
        &self,
        service: &str,
        version: &str,
    ) -> Option<VersionArm> {
        self.rollouts.get(service)?.arm_of(version)
    }

    /// Whether a roll-out of the service is running.
    pub fn is_running(
        &self,
        service: &str,
    ) -> bool {
        let record = self.rollouts.get(service).and_then(|r| r.current_record());
        record.is_some_and(|record| record.state == RolloutState::Running)
    }
}

/// Endpoints of the target version on which it is compared: few, so that each gets at least as many
/// requests as an endpoint of the baseline, and load shows its effect. All fronts choose the same.
pub fn comparison_endpoints<'a>(
    target_ids: impl Iterator<Item = &'a str>,
    baseline_count: usize,
    limit_share: f64,
) -> Vec<&'a str> {
    let share = super::ExposureMeter::compare_share(limit_share);
    let count = ((baseline_count as f64 * share) as usize).max(1);
    let mut ids: Vec<&str> = target_ids.collect();
    ids.sort_by_key(|id| stable_hash(id));
    ids.truncate(count);
    ids
}
