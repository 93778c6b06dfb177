use {
    super::{
        generate_requests, prompt_info, AttemptKey, EventQueue, KindTally, LoadFile, LoadTally,
        RequestKey, RequestOutcome, RoutedRequest, SimEngine, SimEvent, SimFront, SimRequest,
        SimStore, WARM_UP_TIME,
    },
    pitchhitch_core::{
        serving::{MechanismSet, PartId, PromptInfo, ServingMechanism},
        time::Micros,
    },
    std::collections::{BTreeMap, HashMap},
};

/// Interval at which fronts poll the stores; the answers confirm that none has restarted.
pub(super) const STORE_POLL_INTERVAL: Micros = Micros::from_millis(400);

/// State of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestState {
    /// Final outcome, once known.
    pub outcome: Option<RequestOutcome>,
    /// Index of the front that handles it.
    pub front: usize,
    /// Whether it was refused once.
    pub was_refused: bool,
    /// Indexes of the engines tried since the caller's last retry.
    pub tried: Vec<usize>,
    /// Attempts, over all retries of the caller.
    pub attempts: u32,
    /// The current attempt, while its front has it registered.
    pub routed: Option<RoutedRequest>,
    /// When the last attempt was sent.
    pub sent_at: Micros,
    /// Whether the engine of the last attempt has stopped since.
    pub is_lost: bool,
    /// When its front received the first token.
    pub first_token_at: Option<Micros>,
}

/// Simulation of a load under one seed.
#[derive(Debug)]
pub(super) struct LoadSim<'a> {
    pub(super) load: &'a LoadFile,
    pub(super) now: Micros,
    pub(super) queue: EventQueue,
    pub(super) requests: Vec<SimRequest>,
    pub(super) prompts: Vec<PromptInfo>,
    pub(super) states: Vec<RequestState>,
    pub(super) fronts: Vec<SimFront>,
    pub(super) engines: Vec<SimEngine>,
    pub(super) stores: Vec<SimStore>,
    /// Parts in transfer to each engine, with their arrival times.
    pub(super) incoming: Vec<BTreeMap<PartId, Micros>>,
    /// When each shared part was last used at any engine.
    pub(super) last_used_at: HashMap<PartId, Micros>,
    pub(super) tally: LoadTally,
    /// Requests without an outcome yet.
    pub(super) pending: usize,
}

/// Simulates a load under a seed, with one mechanism disabled if one is given.
pub fn simulate_load(
    load: &LoadFile,
    seed: u64,
    disabled: Option<ServingMechanism>,
) -> LoadTally {
    let mut sim = LoadSim::new(load, seed, disabled);
    sim.schedule_events();
    while sim.pending > 0 {
        let Some((at, event)) = sim.queue.pop() else {
            break;
        };
        sim.now = at;
        sim.handle(event);
    }
    sim.tally
}

/// Converts fractional milliseconds.
pub(super) fn millis(millis: f64) -> Micros {
    Micros((millis * 1e3) as u64)
}

impl<'a> LoadSim<'a> {
    fn new(
        load: &'a LoadFile,
        seed: u64,
        disabled: Option<ServingMechanism>,
    ) -> Self {
        let disabled = MechanismSet::of(disabled);
        let requests = generate_requests(load, seed);
        let spec = &load.engines;
        let numbered = load.stores.iter().enumerate();
        let stores: Vec<SimStore> = numbered.map(|(n, s)| SimStore::new(s, n)).collect();
        let front = |n: usize| {
            let domain = n % load.domains;
            SimFront::new(domain, load.domains, spec, &stores, load.fronts, disabled)
        };
        let mut tally = LoadTally {
            kinds: vec![KindTally::default(); load.kinds.len()],
            ..LoadTally::default()
        };
        for request in &requests {
            tally.kinds[request.kind].requests += 1;
        }
        LoadSim {
            load,
            now: Micros::ZERO,
            queue: EventQueue::default(),
            prompts: requests.iter().map(prompt_info).collect(),
            states: vec![RequestState::default(); requests.len()],
            fronts: (0..load.fronts).map(front).collect(),
            engines: (0..spec.count).map(|n| SimEngine::new(spec, n)).collect(),
            stores,
            incoming: vec![BTreeMap::new(); spec.count],
            last_used_at: HashMap::new(),
            tally,
            pending: requests.len(),
            requests,
        }
    }

    /// Schedules the events that do not depend on any decision.
    fn schedule_events(&mut self) {
        let caller_hop = millis(self.load.hops.caller_ms);
        for (index, request) in self.requests.iter().enumerate() {
            let key = RequestKey(index);
            self.states[index].front = request.front;
            let deadline = request.at + self.load.kinds[request.kind].deadline();
            self.queue
                .push(request.at + caller_hop, SimEvent::RequestArrived(key));
            self.queue.push(deadline, SimEvent::Deadline(key));
            if let Some(leaves_at) = request.leaves_at {
                self.queue.push(leaves_at, SimEvent::CallerLeft(key));
            }
        }
        // Engines report in turn and not all at once.
        let every = self.load.engines.report_every_ms;
        for engine in 0..self.engines.len() {
            let first = every * engine as f64 / self.engines.len() as f64;
            self.queue.push(millis(first), SimEvent::ReportDue(engine));
        }
        self.queue.push(Micros::ZERO, SimEvent::StoresPolled);
        for outage in &self.load.outages {
            let from = WARM_UP_TIME + millis(outage.from_s * 1e3);
            let until = from + millis(outage.for_s * 1e3);
            self.queue
                .push(from, SimEvent::EnginesStopped(outage.engines));
            self.queue
                .push(until, SimEvent::EnginesStarted(outage.engines));
        }
    }

    fn handle(
        &mut self,
        event: SimEvent,
    ) {
        match event {
            SimEvent::RequestArrived(request) => self.on_request(request),
            SimEvent::AttemptArrived(attempt) => self.on_attempt(attempt),
            SimEvent::PrefillReady(attempt, incarnation) => {
                self.on_prefill_ready(attempt, incarnation)
            }
            SimEvent::PartFetched(engine, part) => self.on_part_fetched(engine, part),
            SimEvent::StepEnded(incarnation) => self.on_step_ended(incarnation),
            SimEvent::FirstToken(attempt) => self.on_first_token(attempt),
            SimEvent::ResponseEnded(attempt, pause) => self.on_response_ended(attempt, pause),
            SimEvent::AttemptLost(attempt) => self.on_attempt_lost(attempt),
            SimEvent::ReportDue(engine) => self.send_report(engine),
            SimEvent::ReportReceived(engine, load, changes) => {
                self.on_report(engine, load, &changes)
            }
            SimEvent::PartSaved(store, part) => self.on_part_saved(store, part),
            SimEvent::SaveReported(store, part) => self.on_save_reported(store, part),
            SimEvent::StoresPolled => self.poll_stores(),
            SimEvent::Deadline(request) => self.give_up(request, RequestOutcome::Failed),
            SimEvent::CallerLeft(request) => self.give_up(request, RequestOutcome::Abandoned),
            SimEvent::EnginesStopped(engines) => self.stop_engines(engines),
            SimEvent::EnginesStarted(engines) => self.start_engines(engines),
        }
    }

    /// Whether events of an attempt still matter: it is its request's last one, not lost, and the
    /// request has no outcome.
    pub(super) fn is_current(
        &self,
        attempt: AttemptKey,
    ) -> bool {
        let state = &self.states[attempt.request.0];
        state.outcome.is_none() && state.attempts == attempt.number && !state.is_lost
    }

    /// One-way latency between a front and an engine.
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
