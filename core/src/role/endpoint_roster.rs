use {
    super::{AgentPulse, LivenessReport, LoadChange, RosterChange, RosterEntry},
    crate::{
        conf::FleetConfig,
        labels::LabelSet,
        membership::AgentBeacon,
        retry::OutlierGuard,
        route::{
            EndpointArena, EndpointKey, EndpointKind, EndpointLoad, EndpointState, InFlightLoad,
        },
        time::Micros,
    },
    slotmap::SecondaryMap,
    std::{collections::BTreeMap, sync::Arc},
};

/// Time without a beacon or link message after which a busy agent receives no new requests.
pub const SUSPECT_AFTER: Micros = Micros::from_millis(2_000);
/// Time without a message after which the open link of a busy agent counts as hung.
pub const HUNG_AFTER: Micros = Micros::from_millis(4_000);
/// Factor by which [`SUSPECT_AFTER`] and [`HUNG_AFTER`] are extended for an idle agent, which sends
/// messages less often. A report awaited after a request is due within the unscaled limits.
pub const IDLE_FACTOR: u64 = 8;
/// Time without a message after which the endpoint is removed.
pub const ENDPOINT_RETENTION: Micros = Micros::from_secs(60);

/// Endpoints that this process knows, with their load.
#[derive(Debug, Default)]
pub struct EndpointRoster {
    /// Endpoint states by key, shared with the routing table.
    pub arena: Arc<EndpointArena>,
    /// Loads by endpoint key.
    pub loads: SecondaryMap<EndpointKey, EndpointLoad>,
    entries: BTreeMap<String, RosterEntry>,
}

impl EndpointRoster {
    /// Returns the entry of an endpoint.
    pub fn get(
        &self,
        endpoint_id: &str,
    ) -> Option<&RosterEntry> {
        self.entries.get(endpoint_id)
    }

    /// Returns the mutable entry of an endpoint.
    pub fn get_mut(
        &mut self,
        endpoint_id: &str,
    ) -> Option<&mut RosterEntry> {
        self.entries.get_mut(endpoint_id)
    }

    /// Iterates over all entries, ordered by endpoint id.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &RosterEntry)> {
        self.entries.iter()
    }

    /// Returns the state of an endpoint.
    pub fn state(
        &self,
        endpoint_id: &str,
    ) -> Option<&Arc<EndpointState>> {
        let entry = self.entries.get(endpoint_id)?;
        self.arena.get(entry.key)
    }

    /// Applies the beacon of an agent. Beacons of an earlier incarnation are ignored; a later
    /// one replaces the endpoint.
    pub fn apply_beacon(
        &mut self,
        beacon: &AgentBeacon,
        own: InFlightLoad,
        config: &FleetConfig,
        now: Micros,
    ) -> RosterChange {
        let known = self.state(&beacon.endpoint_id).map(|s| s.incarnation);
        match known {
            Some(known) if beacon.incarnation < known => return RosterChange::None,
            Some(known) if beacon.incarnation == known => {}
            _ => {
                self.insert(beacon, config, now);
                self.update_load(&beacon.endpoint_id, beacon.pulse, own, now);
                return RosterChange::Joined;
            }
        }
        let mut change = RosterChange::None;
        if self.set_kind(&beacon.endpoint_id, &beacon.kind) {
            change = RosterChange::PoolMembership;
        }
        if let Some(entry) = self.entries.get_mut(&beacon.endpoint_id) {
            entry.revision = entry.revision.max(beacon.revision);
        }
        match self.update_load(&beacon.endpoint_id, beacon.pulse, own, now) {
            LoadChange::None => change,
            LoadChange::Load if change == RosterChange::None => RosterChange::Load,
            LoadChange::Load => change,
            LoadChange::Refusal => RosterChange::PoolMembership,
        }
    }

    fn insert(
        &mut self,
        beacon: &AgentBeacon,
        config: &FleetConfig,
        now: Micros,
    ) {
        self.remove(&beacon.endpoint_id);
        let state = EndpointState {
            id: beacon.endpoint_id.clone(),
            kind: beacon.kind.clone(),
            group: beacon.group.clone(),
            labels: merged_labels(config, &beacon.endpoint_id, &beacon.labels),
            address: beacon.address,
            incarnation: beacon.incarnation,
            leaving: beacon.pulse.refusing || config.is_leaving(&beacon.endpoint_id),
        };
        let key = Arc::make_mut(&mut self.arena).insert(Arc::new(state));
        let entry = RosterEntry {
            key,
            agent_labels: beacon.labels.clone(),
            linked: false,
            refusing: beacon.pulse.refusing,
            exporting: beacon.pulse.exporting,
            received_at: now,
            awaited_report: None,
            next_event: None,
            revision: beacon.revision,
            last_notice: None,
            loading: None,
            guard: OutlierGuard::default(),
        };
        self.entries.insert(beacon.endpoint_id.clone(), entry);
    }

    /// Removes an endpoint.
    pub fn remove(
        &mut self,
        endpoint_id: &str,
    ) {
        if let Some(entry) = self.entries.remove(endpoint_id) {
            Arc::make_mut(&mut self.arena).remove(entry.key);
            self.loads.remove(entry.key);
        }
    }

    /// Gives an endpoint a new key, which invalidates all references to the old one.
    pub fn renew_key(
        &mut self,
        endpoint_id: &str,
    ) {
        let Some(entry) = self.entries.get_mut(endpoint_id) else {
            return;
        };
        let arena = Arc::make_mut(&mut self.arena);
        let Some(state) = arena.remove(entry.key) else {
            return;
        };
        let load = self.loads.remove(entry.key);
        entry.key = arena.insert(state);
        if let Some(load) = load {
            self.loads.insert(entry.key, load);
        }
    }

    /// Updates the load of an endpoint from a pulse of its agent.
    pub fn update_load(
        &mut self,
        endpoint_id: &str,
        pulse: AgentPulse,
        own: InFlightLoad,
        now: Micros,
    ) -> LoadChange {
        let Some(entry) = self.entries.get_mut(endpoint_id) else {
            return LoadChange::None;
        };
        entry.received_at = now;
        entry.awaited_report = entry
            .awaited_report
            .and_then(|report| report.after_report(pulse, now));
        entry.exporting = pulse.exporting;
        let refusal_changed = entry.refusing != pulse.refusing;
        entry.refusing = pulse.refusing;
        let load = EndpointLoad {
            report: pulse.load,
            own_tokens: own.tokens,
            own_running: own.running,
            alive: entry.linked && !entry.guard.is_ejected(now),
            penalty: entry.guard.penalty(now),
        };
        let before = self.loads.insert(entry.key, load);
        if refusal_changed {
            LoadChange::Refusal
        } else if before != Some(load) {
            LoadChange::Load
        } else {
            LoadChange::None
        }
    }

    /// Reevaluates which endpoints are alive, and finds hung links and endpoints to remove.
    pub fn check_liveness(
        &mut self,
        now: Micros,
    ) -> LivenessReport {
        let mut report = LivenessReport::default();
        for (id, entry) in &self.entries {
            let silence = now.since(entry.received_at);
            let awaited_for = entry
                .awaited_report
                .map_or(Micros::ZERO, |awaited| now.since(awaited.since));
            let load = self.loads.get_mut(entry.key);
            let idle = load.as_ref().is_none_or(|l| l.report.running == 0);
            let factor = if idle { IDLE_FACTOR } else { 1 };
            if silence >= ENDPOINT_RETENTION {
                report.expired.push(id.clone());
            } else if (silence.0 >= HUNG_AFTER.0 * factor || awaited_for >= HUNG_AFTER)
                && entry.linked
            {
                report.hung_links.push(id.clone());
            }
            if let Some(load) = load {
                let is_reporting =
                    silence.0 < SUSPECT_AFTER.0 * factor && awaited_for < SUSPECT_AFTER;
                let alive = entry.linked && is_reporting && !entry.guard.is_ejected(now);
                let penalty = entry.guard.penalty(now);
                report.changed |= load.alive != alive || load.penalty != penalty;
                load.alive = alive;
                load.penalty = penalty;
            }
        }
        report
    }

    /// Sets the kind of an endpoint, which includes its weight version; returns whether it changed.
    pub fn set_kind(
        &mut self,
        endpoint_id: &str,
        kind: &EndpointKind,
    ) -> bool {
        let Some(entry) = self.entries.get(endpoint_id) else {
            return false;
        };
        let arena = Arc::make_mut(&mut self.arena);
        match arena.get_mut(entry.key) {
            Some(state) if &state.kind != kind => {
                Arc::make_mut(state).kind = kind.clone();
                true
            }
            _ => false,
        }
    }

    /// Recomputes the labels and the leaving flag of all endpoints from the configuration and the
    /// reports of their agents.
    pub fn refresh_states(
        &mut self,
        config: &FleetConfig,
    ) {
        let arena = Arc::make_mut(&mut self.arena);
        for (id, entry) in &self.entries {
            let Some(state) = arena.get_mut(entry.key) else {
                continue;
            };
            let labels = merged_labels(config, id, &entry.agent_labels);
            let leaving = entry.refusing || config.is_leaving(id);
            if state.labels != labels || state.leaving != leaving {
                let state = Arc::make_mut(state);
                state.labels = labels;
                state.leaving = leaving;
            }
        }
    }
}

fn merged_labels(
    config: &FleetConfig,
    endpoint_id: &str,
    own: &LabelSet,
) -> LabelSet {
    let mut labels = match config.endpoints.get(endpoint_id) {
        Some(conf) => own.merged_with(&conf.labels),
        None => own.clone(),
    };
    labels.set("endpoint", endpoint_id);
    labels
}
