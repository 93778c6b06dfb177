use {
    super::{
        plan_calls, prompt_ask, CallKey, CallOutcome, EventQueue, FrontSend, KindTally, LoadFile,
        LoadTally, ModelEngine, ModelEvent, ModelFront, ModelStore, PromptCall, SendKey, LEAD_TIME,
    },
    pitchhitch_core::{
        serving::{MechanismSet, PartId, PromptInfo, ServingMechanism},
        time::Micros,
    },
    std::collections::{BTreeMap, HashMap},
};

/// Time between two proofs that stores still live as they did.
pub(super) const STORE_ANSWERS: Micros = Micros::from_millis(400);

/// Where a request stands.
#[derive(Debug, Clone, Default)]
pub(super) struct CallState {
    /// What became of it, once that is known.
    pub outcome: Option<CallOutcome>,
    /// Front that has it.
    pub front: usize,
    /// Whether it was refused once.
    pub was_refused: bool,
    /// Engines that it has been to in this try, by number.
    pub tried: Vec<usize>,
    /// Sends, over all tries.
    pub sends: u32,
    /// The last send, while the request is on its front's book.
    pub sent: Option<FrontSend>,
    /// When it was sent last.
    pub sent_at: Micros,
    /// Whether the engine of the last send went down since.
    pub is_lost: bool,
    /// When its front heard the beginning of the answer.
    pub began_at: Option<Micros>,
}

/// A load that is played under one seed.
#[derive(Debug)]
pub(super) struct LoadWorld<'a> {
    pub(super) load: &'a LoadFile,
    pub(super) now: Micros,
    pub(super) queue: EventQueue,
    pub(super) calls: Vec<PromptCall>,
    pub(super) prompts: Vec<PromptInfo>,
    pub(super) states: Vec<CallState>,
    pub(super) fronts: Vec<ModelFront>,
    pub(super) engines: Vec<ModelEngine>,
    pub(super) stores: Vec<ModelStore>,
    /// Parts on their way to each engine, and when they are there.
    pub(super) coming: Vec<BTreeMap<PartId, Micros>>,
    /// When each shared part was used last at any engine.
    pub(super) used_at: HashMap<PartId, Micros>,
    pub(super) tally: LoadTally,
    /// Requests of which it is not known yet what becomes of them.
    pub(super) open: usize,
}

/// Plays a load under a seed, without one mechanism if one is named.
pub fn play_load(
    load: &LoadFile,
    seed: u64,
    left_out: Option<ServingMechanism>,
) -> LoadTally {
    let mut world = LoadWorld::new(load, seed, left_out);
    world.schedule();
    while world.open > 0 {
        let Some((at, event)) = world.queue.take() else {
            break;
        };
        world.now = at;
        world.happen(event);
    }
    world.tally
}

/// A time in milliseconds with fractions.
pub(super) fn millis(millis: f64) -> Micros {
    Micros((millis * 1e3) as u64)
}

impl<'a> LoadWorld<'a> {
    fn new(
        load: &'a LoadFile,
        seed: u64,
        left_out: Option<ServingMechanism>,
    ) -> Self {
        let left_out = MechanismSet::of(left_out);
        let calls = plan_calls(load, seed);
        let spec = &load.engines;
        let numbered = load.stores.iter().enumerate();
        let stores: Vec<ModelStore> = numbered.map(|(n, s)| ModelStore::new(s, n)).collect();
        let front =
            |n: usize| ModelFront::new(n % load.domains, load.domains, spec, &stores, left_out);
        let mut tally = LoadTally {
            kinds: vec![KindTally::default(); load.kinds.len()],
            ..LoadTally::default()
        };
        for call in &calls {
            tally.kinds[call.kind].asked += 1;
        }
        LoadWorld {
            load,
            now: Micros::ZERO,
            queue: EventQueue::default(),
            prompts: calls.iter().map(prompt_ask).collect(),
            states: vec![CallState::default(); calls.len()],
            fronts: (0..load.fronts).map(front).collect(),
            engines: (0..spec.count).map(|n| ModelEngine::new(spec, n)).collect(),
            stores,
            coming: vec![BTreeMap::new(); spec.count],
            used_at: HashMap::new(),
            tally,
            open: calls.len(),
            calls,
        }
    }

    /// Puts all that happens whatever is decided.
    fn schedule(&mut self) {
        let caller = millis(self.load.hops.caller_ms);
        for (number, call) in self.calls.iter().enumerate() {
            let key = CallKey(number);
            self.states[number].front = call.front;
            let deadline = call.at + self.load.kinds[call.kind].deadline();
            self.queue.put(call.at + caller, ModelEvent::Asks(key));
            self.queue.put(deadline, ModelEvent::Deadline(key));
            if let Some(leaves_at) = call.leaves_at {
                self.queue.put(leaves_at, ModelEvent::Leaves(key));
            }
        }
        // Engines report in turn and not all at once.
        let every = self.load.engines.report_every_ms;
        for engine in 0..self.engines.len() {
            let first = every * engine as f64 / self.engines.len() as f64;
            self.queue.put(millis(first), ModelEvent::Reports(engine));
        }
        self.queue.put(Micros::ZERO, ModelEvent::StoresAnswer);
        for outage in &self.load.outages {
            let from = LEAD_TIME + millis(outage.from_s * 1e3);
            let until = from + millis(outage.for_s * 1e3);
            self.queue.put(from, ModelEvent::GoDown(outage.engines));
            self.queue.put(until, ModelEvent::ComeUp(outage.engines));
        }
    }

    fn happen(
        &mut self,
        event: ModelEvent,
    ) {
        match event {
            ModelEvent::Asks(call) => self.asks(call),
            ModelEvent::Reaches(send) => self.reaches(send),
            ModelEvent::Ready(send, at) => self.ready(send, at),
            ModelEvent::Fetched(engine, part) => self.fetched(engine, part),
            ModelEvent::StepEnds(at) => self.step_ends(at),
            ModelEvent::Begun(send) => self.begun(send),
            ModelEvent::Ended(send, pause) => self.ended(send, pause),
            ModelEvent::Lost(send) => self.lost(send),
            ModelEvent::Reports(engine) => self.reports(engine),
            ModelEvent::Reported(engine, load, changes) => self.reported(engine, load, &changes),
            ModelEvent::Saved(store, part) => self.saved(store, part),
            ModelEvent::SavedHeard(store, part) => self.saved_heard(store, part),
            ModelEvent::StoresAnswer => self.stores_answer(),
            ModelEvent::Deadline(call) => self.give_up(call, CallOutcome::Failed),
            ModelEvent::Leaves(call) => self.give_up(call, CallOutcome::GaveUp),
            ModelEvent::GoDown(engines) => self.go_down(engines),
            ModelEvent::ComeUp(engines) => self.come_up(engines),
        }
    }

    /// Whether news of a send are still of interest.
    pub(super) fn is_current(
        &self,
        send: SendKey,
    ) -> bool {
        let state = &self.states[send.call.0];
        state.outcome.is_none() && state.sends == send.send && !state.is_lost
    }

    /// Time between a front and an engine, one way.
    pub(super) fn hop(
        &self,
        front: usize,
        engine: usize,
    ) -> Micros {
        let hops = &self.load.hops;
        match self.fronts[front].domain == engine % self.load.domains {
            true => millis(hops.in_domain_ms),
            false => millis(hops.cross_domain_ms),
        }
    }
}
