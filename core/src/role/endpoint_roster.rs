use {
    super::{AgentPulse, LoadChange, RosterChange, RosterEntry, RosterVerdict},
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

/// Silence of a busy agent, by beacon and link, after which it gets no new work.
pub const SUSPECT_AFTER: Micros = Micros::from_millis(2_000);
/// Silence of a busy agent after which a link that is still up counts as hung.
pub const HUNG_AFTER: Micros = Micros::from_millis(4_000);
/// Factor on both for an idle agent, which says less. A request to it that it
/// does not acknowledge is noticed much sooner.
pub const IDLE_FACTOR: u64 = 8;
/// Silence after which the endpoint is taken out of the table.
pub const REMOVE_AFTER: Micros = Micros::from_secs(60);

/// All endpoints that this process knows, with their load.
#[derive(Debug, Default)]
pub struct EndpointRoster {
    /// Arena shared with the routing table.
    pub arena: Arc<EndpointArena>,
    /// Loads by key.
    pub loads: SecondaryMap<EndpointKey, EndpointLoad>,
    entries: BTreeMap<String, RosterEntry>,
}

impl EndpointRoster {
    /// The entry of one endpoint.
    pub fn get(
        &self,
        endpoint_id: &str,
    ) -> Option<&RosterEntry> {
        self.entries.get(endpoint_id)
    }

    /// The entry of one endpoint, to change it.
    pub fn get_mut(
        &mut self,
        endpoint_id: &str,
    ) -> Option<&mut RosterEntry> {
        self.entries.get_mut(endpoint_id)
    }

    /// All entries by endpoint id.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &RosterEntry)> {
        self.entries.iter()
    }

    /// The state of one endpoint.
    pub fn state(
        &self,
        endpoint_id: &str,
    ) -> Option<&Arc<EndpointState>> {
        let entry = self.entries.get(endpoint_id)?;
        self.arena.get(entry.key)
    }

    /// Takes in what an agent says of itself.
    pub fn heard(
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
                self.note_load(&beacon.endpoint_id, beacon.pulse, own, now);
                return RosterChange::Joined;
            }
        }
        let mut change = RosterChange::None;
        if self.set_version(&beacon.endpoint_id, &beacon.kind) {
            change = RosterChange::Altered;
        }
        if let Some(entry) = self.entries.get_mut(&beacon.endpoint_id) {
            entry.revision = entry.revision.max(beacon.revision);
        }
        match self.note_load(&beacon.endpoint_id, beacon.pulse, own, now) {
            LoadChange::None => change,
            LoadChange::Load if change == RosterChange::None => RosterChange::Load,
            LoadChange::Load => change,
            LoadChange::Refusal => RosterChange::Altered,
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
            own_labels: beacon.labels.clone(),
            linked: false,
            refusing: beacon.pulse.refusing,
            exporting: beacon.pulse.exporting,
            heard_at: now,
            awaited: None,
            next_event: None,
            revision: beacon.revision,
            notified: None,
            loading: None,
            guard: OutlierGuard::default(),
        };
        self.entries.insert(beacon.endpoint_id.clone(), entry);
    }

    /// Takes an endpoint out.
    pub fn remove(
        &mut self,
        endpoint_id: &str,
    ) {
        if let Some(entry) = self.entries.remove(endpoint_id) {
            Arc::make_mut(&mut self.arena).remove(entry.key);
            self.loads.remove(entry.key);
        }
    }

    /// Gives an endpoint a new key, so that everything noted under the old one is void.
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

    /// Notes the load of an endpoint.
    pub fn note_load(
        &mut self,
        endpoint_id: &str,
        pulse: AgentPulse,
        own: InFlightLoad,
        now: Micros,
    ) -> LoadChange {
        let Some(entry) = self.entries.get_mut(endpoint_id) else {
            return LoadChange::None;
        };
        entry.heard_at = now;
        entry.awaited = entry.awaited.and_then(|word| word.after(pulse, now));
        entry.exporting = pulse.exporting;
        let altered = entry.refusing != pulse.refusing;
        entry.refusing = pulse.refusing;
        let load = EndpointLoad {
            report: pulse.load,
            own_tokens: own.tokens,
            own_running: own.running,
            alive: entry.linked && !entry.guard.is_ejected(now),
            penalty: entry.guard.penalty(now),
        };
        let before = self.loads.insert(entry.key, load);
        if altered {
            LoadChange::Refusal
        } else if before != Some(load) {
            LoadChange::Load
        } else {
            LoadChange::None
        }
    }

    /// Judges anew who is alive.
    pub fn judge(
        &mut self,
        now: Micros,
    ) -> RosterVerdict {
        let mut verdict = RosterVerdict::default();
        for (id, entry) in &self.entries {
            let silent = now.since(entry.heard_at);
            let awaited = entry
                .awaited
                .map_or(Micros::ZERO, |word| now.since(word.since));
            let load = self.loads.get_mut(entry.key);
            let idle = load.as_ref().is_none_or(|l| l.report.running == 0);
            let factor = if idle { IDLE_FACTOR } else { 1 };
            if silent >= REMOVE_AFTER {
                verdict.gone.push(id.clone());
            } else if (silent.0 >= HUNG_AFTER.0 * factor || awaited >= HUNG_AFTER) && entry.linked {
                verdict.hung_links.push(id.clone());
            }
            if let Some(load) = load {
                let heard = silent.0 < SUSPECT_AFTER.0 * factor && awaited < SUSPECT_AFTER;
                let alive = entry.linked && heard && !entry.guard.is_ejected(now);
                let penalty = entry.guard.penalty(now);
                verdict.changed |= load.alive != alive || load.penalty != penalty;
                load.alive = alive;
                load.penalty = penalty;
            }
        }
        verdict
    }

    /// Notes the version that an engine holds now; true when it is another.
    pub fn set_version(
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

    /// Puts the operators' labels on all endpoints anew.
    pub fn relabel(
        &mut self,
        config: &FleetConfig,
    ) {
        let arena = Arc::make_mut(&mut self.arena);
        for (id, entry) in &self.entries {
            let Some(state) = arena.get_mut(entry.key) else {
                continue;
            };
            let labels = merged_labels(config, id, &entry.own_labels);
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
