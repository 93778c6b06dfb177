use {
    super::{
        load_world::{millis, STORE_ANSWERS},
        LoadWorld, ModelEvent, SendKey, WALL,
    },
    pitchhitch_core::{
        serving::{transfer_ms, PartLocation, PromptPart},
        time::Micros,
    },
};

/// Factor on a move between failure domains.
const OTHER_DOMAIN_FACTOR: f64 = 2.0;
/// An engine does not begin a move that would wait for longer: it reads the part.
const LONGEST_WAIT: Micros = Micros::from_secs(2);
/// The one life of each store.
const STORE_LIFE: u64 = 1;

impl LoadWorld<'_> {
    /// Starts the moves that a request's front asked for; tells when all is there.
    /// From the first part that cannot be had, all is read.
    pub(super) fn start_fetches(
        &mut self,
        send: SendKey,
        engine: usize,
    ) -> Micros {
        let mut there_at = self.now;
        let sent = self.states[send.call.0].sent.as_ref();
        let plan = sent.map(|sent| sent.choice.plan.parts.clone());
        for fetch in plan.unwrap_or_default() {
            let part = fetch.part;
            if self.engines[engine].memory.keeps(part.id) {
                continue;
            }
            let coming = self.coming[engine].get(&part.id).copied();
            let source = fetch.source.map(|(source, _)| source.location);
            let moved = coming.or_else(|| self.start_move(send, source?, engine, part));
            let Some(moved_at) = moved else {
                break;
            };
            there_at = there_at.max(moved_at);
        }
        there_at
    }

    /// Starts to move a part to an engine; tells when it is there, or nothing where
    /// the source has it no more.
    fn start_move(
        &mut self,
        send: SendKey,
        source: PartLocation,
        engine: usize,
        part: PromptPart,
    ) -> Option<Micros> {
        let spec = &self.load.engines;
        let bytes = u64::from(part.tokens) * spec.token_bytes;
        let own_until = self.engines[engine].link_until;
        let (domain, first_ms, link_mbps, link_until) = match source {
            PartLocation::Store(place) => {
                let store = self.stores.get_mut(place).filter(|s| s.keeps(part.id))?;
                let (spec, link_until) = (&store.spec, &mut store.link_until);
                (spec.domain, spec.first_ms, spec.link_mbps, link_until)
            }
            PartLocation::Engine(key) => {
                let front = self.states[send.call.0].front;
                let from = self.fronts[front].engine(key)?;
                let source = &mut self.engines[from];
                if source.is_down || !source.memory.keeps(part.id) {
                    return None;
                }
                let domain = from % self.load.domains;
                let link_until = &mut source.link_until;
                (domain, spec.move_first_ms, spec.link_mbps, link_until)
            }
        };
        let factor = match domain == engine % self.load.domains {
            true => 1.0,
            false => OTHER_DOMAIN_FACTOR,
        };
        let from = self.now.max(*link_until).max(own_until);
        if from.since(self.now) > LONGEST_WAIT {
            return None;
        }
        let took_ms = first_ms + transfer_ms(bytes, link_mbps);
        let there_at = from + millis(took_ms * factor);
        // A longer way delays a move, but does not keep the link of its source.
        *link_until = from + millis(took_ms);
        self.engines[engine].link_until = there_at;
        self.coming[engine].insert(part.id, there_at);
        self.queue.put(there_at, ModelEvent::Fetched(engine, part));
        Some(there_at)
    }

    /// A part that an engine fetched is there.
    pub(super) fn fetched(
        &mut self,
        engine: usize,
        part: PromptPart,
    ) {
        let is_awaited = self.coming[engine].remove(&part.id).is_some();
        if is_awaited && self.engines[engine].memory.keep_fetched(part) {
            self.tally.fetched += u64::from(part.tokens);
        }
    }

    /// An engine has all parts of a prompt and saves those that it was asked to.
    pub(super) fn start_saves(
        &mut self,
        send: SendKey,
    ) {
        let state = &self.states[send.call.0];
        let saves = state.sent.as_ref().map(|sent| sent.saves.clone());
        let shared = self.calls[send.call.0].shared();
        for (part, save) in shared.iter().zip(saves.unwrap_or_default()) {
            let place = self.stores.iter().position(|s| Some(s.address) == save);
            let Some(place) = place else {
                continue;
            };
            let store = &mut self.stores[place];
            let bytes = u64::from(part.tokens) * self.load.engines.token_bytes;
            let took_ms = store.spec.first_ms + transfer_ms(bytes, store.spec.link_mbps);
            let from = self.now.max(store.link_until);
            store.link_until = from + millis(took_ms);
            let saved = ModelEvent::Saved(place, *part);
            self.queue.put(store.link_until, saved);
        }
    }

    /// A part is saved, if the store has room.
    pub(super) fn saved(
        &mut self,
        place: usize,
        part: PromptPart,
    ) {
        let store = &mut self.stores[place];
        if store.save(part) {
            let lag = millis(store.spec.news_lag_ms);
            let heard = ModelEvent::SavedHeard(place, part);
            self.queue.put(self.now + lag, heard);
        }
    }

    /// Fronts hear that a store has a part.
    pub(super) fn saved_heard(
        &mut self,
        place: usize,
        part: PromptPart,
    ) {
        for front in &mut self.fronts {
            if let Some(view) = front.memory.view_at(place) {
                view.set_part(WALL, part.id, part.tokens);
            }
        }
    }

    /// Fronts hear that all stores live as they did.
    pub(super) fn stores_answer(&mut self) {
        let clock_ms = Some(self.now.as_millis());
        for front in &mut self.fronts {
            for place in 0..self.stores.len() {
                if let Some(view) = front.memory.view_at(place) {
                    view.record_response(STORE_LIFE, clock_ms, self.now, self.now);
                }
            }
        }
        let next_at = self.now + STORE_ANSWERS;
        self.queue.put(next_at, ModelEvent::StoresAnswer);
    }
}
