use {
    super::{
        load_sim::{millis, STORE_POLL_INTERVAL},
        AttemptKey, LoadSim, SimEvent, NAMESPACE,
    },
    pitchhitch_core::{
        serving::{transfer_ms, PartLocation, PromptPart},
        time::Micros,
    },
};

/// Factor on the duration of a transfer between failure domains.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;
/// An engine does not start a transfer that would wait for longer; it prefills the part.
const MAX_LINK_WAIT: Micros = Micros::from_secs(2);
/// Epoch of each store, as no store restarts.
const STORE_EPOCH: u64 = 1;

impl LoadSim<'_> {
    /// Starts the fetches that a request's front planned; returns when all parts have arrived. From
    /// the first part that is unavailable on, everything is prefilled.
    pub(super) fn start_fetches(
        &mut self,
        attempt: AttemptKey,
        engine: usize,
    ) -> Micros {
        let mut arrives_at = self.now;
        let routed = self.states[attempt.request.0].routed.as_ref();
        let plan = routed.map(|routed| routed.choice.plan.parts.clone());
        for fetch in plan.unwrap_or_default() {
            let part = fetch.part;
            if self.engines[engine].memory.contains(part.id) {
                continue;
            }
            let incoming = self.incoming[engine].get(&part.id).copied();
            let source = fetch.source.map(|(source, _)| source.location);
            let arrival = incoming.or_else(|| self.start_transfer(attempt, source?, engine, part));
            let Some(part_arrives_at) = arrival else {
                break;
            };
            arrives_at = arrives_at.max(part_arrives_at);
        }
        arrives_at
    }

    /// Starts the transfer of a part to an engine; returns its arrival time, or `None` if the
    /// source no longer has the part or a link is busy for too long.
    fn start_transfer(
        &mut self,
        attempt: AttemptKey,
        source: PartLocation,
        engine: usize,
        part: PromptPart,
    ) -> Option<Micros> {
        let spec = &self.load.engines;
        let bytes = u64::from(part.tokens) * spec.token_bytes;
        let engine_busy_until = self.engines[engine].link_busy_until;
        let (domain, first_ms, link_mbps, link_busy_until) = match source {
            PartLocation::Store(store_index) => {
                let store = self
                    .stores
                    .get_mut(store_index)
                    .filter(|s| s.contains(part.id))?;
                let (spec, link_busy_until) = (&store.spec, &mut store.link_busy_until);
                (spec.domain, spec.first_ms, spec.link_mbps, link_busy_until)
            }
            PartLocation::Engine(key) => {
                let front = self.states[attempt.request.0].front;
                let from_engine = self.fronts[front].engine(key)?;
                let source = &mut self.engines[from_engine];
                if source.is_down || !source.memory.contains(part.id) {
                    return None;
                }
                let domain = from_engine % self.load.domains;
                let link_busy_until = &mut source.link_busy_until;
                (domain, spec.move_first_ms, spec.link_mbps, link_busy_until)
            }
        };
        let factor = match domain == engine % self.load.domains {
            true => 1.0,
            false => CROSS_DOMAIN_FACTOR,
        };
        let starts_at = self.now.max(*link_busy_until).max(engine_busy_until);
        if starts_at.since(self.now) > MAX_LINK_WAIT {
            return None;
        }
        let transfer_time_ms = first_ms + transfer_ms(bytes, link_mbps);
        let arrives_at = starts_at + millis(transfer_time_ms * factor);
        // A cross-domain path delays the transfer, but does not occupy the link of its source for
        // longer.
        *link_busy_until = starts_at + millis(transfer_time_ms);
        self.engines[engine].link_busy_until = arrives_at;
        self.incoming[engine].insert(part.id, arrives_at);
        self.queue
            .push(arrives_at, SimEvent::PartFetched(engine, part));
        Some(arrives_at)
    }

    /// A fetched part has arrived at an engine.
    pub(super) fn on_part_fetched(
        &mut self,
        engine: usize,
        part: PromptPart,
    ) {
        let was_incoming = self.incoming[engine].remove(&part.id).is_some();
        if was_incoming && self.engines[engine].memory.insert_fetched(part) {
            self.tally.fetched_tokens += u64::from(part.tokens);
        }
    }

    /// Starts to save the parts that the front planned to save, when the engine has all of them.
    pub(super) fn start_saves(
        &mut self,
        attempt: AttemptKey,
    ) {
        let state = &self.states[attempt.request.0];
        let saves = state.routed.as_ref().map(|routed| routed.saves.clone());
        let shared = self.requests[attempt.request.0].shared();
        for (part, save) in shared.iter().zip(saves.unwrap_or_default()) {
            let store_index = self.stores.iter().position(|s| Some(s.address) == save);
            let Some(store_index) = store_index else {
                continue;
            };
            let store = &mut self.stores[store_index];
            let bytes = u64::from(part.tokens) * self.load.engines.token_bytes;
            let transfer_time_ms = store.spec.first_ms + transfer_ms(bytes, store.spec.link_mbps);
            let starts_at = self.now.max(store.link_busy_until);
            store.link_busy_until = starts_at + millis(transfer_time_ms);
            let save_event = SimEvent::PartSaved(store_index, *part);
            self.queue.push(store.link_busy_until, save_event);
        }
    }

    /// A part has arrived at a store, which keeps it if there is capacity.
    pub(super) fn on_part_saved(
        &mut self,
        store_index: usize,
        part: PromptPart,
    ) {
        let store = &mut self.stores[store_index];
        if store.save(part) {
            let lag = millis(store.spec.news_lag_ms);
            let save_report = SimEvent::SaveReported(store_index, part);
            self.queue.push(self.now + lag, save_report);
        }
    }

    /// Fronts learn that a store has a part.
    pub(super) fn on_save_reported(
        &mut self,
        store_index: usize,
        part: PromptPart,
    ) {
        for front in &mut self.fronts {
            if let Some(view) = front.store_directory.view_at(store_index) {
                view.set_part(NAMESPACE, part.id, part.tokens);
            }
        }
    }

    /// Fronts poll all stores and learn that none has restarted.
    pub(super) fn poll_stores(&mut self) {
        let clock_ms = Some(self.now.as_millis());
        for front in &mut self.fronts {
            for store_index in 0..self.stores.len() {
                if let Some(view) = front.store_directory.view_at(store_index) {
                    view.record_response(STORE_EPOCH, clock_ms, self.now, self.now);
                }
            }
        }
        let next_at = self.now + STORE_POLL_INTERVAL;
        self.queue.push(next_at, SimEvent::StoresPolled);
    }
}
