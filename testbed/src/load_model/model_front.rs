use {
    super::{EngineSpec, FrontAsk, FrontSend, FrontVerdict, ModelStore},
    pitchhitch_core::{
        serving::{
            pick_endpoint, AdmissionController, AdmissionDecision, AdmissionRequest,
            EndpointChoice, EndpointKey, EndpointNotice, EndpointRegistry, EngineConfig,
            KvStoreDirectory, LatencyEstimator, MechanismSet, NamespaceTag, PendingPrefill,
            PickRequest, PromptInfo, VersionAvailability, WeightBounds,
        },
        time::Micros,
    },
    std::net::SocketAddr,
};

/// The one model that all engines serve, and the one version of its weights.
pub(super) const MODEL: &str = "m";
const VERSION: u64 = 1;
/// The one wall inside which parts are shared.
pub const WALL: NamespaceTag = NamespaceTag(1);
const SERVICE: &str = "engines";

/// One front: the deciding code of the product, with its state.
#[derive(Debug)]
pub struct ModelFront {
    /// Failure domain, by number.
    pub domain: usize,
    /// Engines, as this front knows them.
    pub book: EndpointRegistry,
    /// Stores, as this front knows them.
    pub memory: KvStoreDirectory,
    /// What it has learned of engines.
    pub pace: LatencyEstimator,
    admission: AdmissionController,
    keys: Vec<EndpointKey>,
    group: EngineConfig,
    tickets: u64,
    left_out: MechanismSet,
}

impl ModelFront {
    /// A front that has just learned of all engines and stores.
    pub fn new(
        domain: usize,
        domains: usize,
        spec: &EngineSpec,
        stores: &[ModelStore],
        left_out: MechanismSet,
    ) -> Self {
        let mut book = EndpointRegistry::default();
        let mut keys = Vec::new();
        for engine in 0..spec.count {
            let notice = engine_notice(engine, domains, spec);
            book.apply(&notice);
            keys.extend(book.key(&notice.id));
        }
        let mut memory = KvStoreDirectory::without(left_out);
        let notices: Vec<_> = stores.iter().map(ModelStore::notice).collect();
        memory.set_stores(&notices);
        ModelFront {
            domain,
            book,
            memory,
            pace: LatencyEstimator::without(left_out),
            admission: AdmissionController::without(left_out),
            keys,
            group: EngineConfig {
                slots: spec.places,
                capacity_tokens: spec.memory_tokens,
                token_bytes: spec.token_bytes,
                link_mbps: spec.link_mbps,
                models: vec![MODEL.to_string()],
            },
            tickets: 0,
            left_out,
        }
    }

    /// Key of an engine in the book.
    pub fn key(
        &self,
        engine: usize,
    ) -> EndpointKey {
        self.keys[engine]
    }

    /// Number of an engine in the book.
    pub fn engine(
        &self,
        key: EndpointKey,
    ) -> Option<usize> {
        self.keys.iter().position(|known| *known == key)
    }

    /// Decides about a request.
    pub fn decide(
        &mut self,
        ask: &FrontAsk<'_>,
        now: Micros,
    ) -> FrontVerdict {
        let Some(choice) = self.pick(ask, now) else {
            return FrontVerdict::NoEngine;
        };
        // Only a first send is judged: what has been let in is carried through.
        if ask.tried.is_empty() && self.judge(ask, &choice) != AdmissionDecision::Admitted {
            return FrontVerdict::Refused(self.come_back(ask, &choice));
        }
        match self.engine(choice.key) {
            Some(engine) => FrontVerdict::Sent(Box::new(self.send(ask, engine, choice, now))),
            None => FrontVerdict::NoEngine,
        }
    }

    fn pick(
        &self,
        ask: &FrontAsk<'_>,
        now: Micros,
    ) -> Option<EndpointChoice> {
        let outlooks = self.outlooks(ask.prompt, now);
        let tried: Vec<EndpointKey> = ask.tried.iter().map(|at| self.key(*at)).collect();
        let pick = PickRequest {
            trial: None,
            is_eligible: &|_| true,
            is_connected: &|_| true,
            service: SERVICE,
            domain: &domain_name(self.domain),
            prompt: Some(ask.prompt),
            priority: ask.kind.rank,
            tried: &tried,
            estimator: &self.pace,
            weights: WeightBounds::default(),
            disabled: self.left_out,
            now,
        };
        pick_endpoint(&self.book, &pick, &outlooks)
    }

    fn outlooks(
        &self,
        prompt: &PromptInfo,
        now: Micros,
    ) -> Vec<VersionAvailability> {
        let (book, group) = (&self.book, &self.group);
        let parts = self
            .memory
            .locate_parts(book, group, WALL, &prompt.parts, now);
        vec![VersionAvailability {
            version: VERSION,
            namespace: WALL,
            parts,
        }]
    }

    fn judge(
        &mut self,
        ask: &FrontAsk<'_>,
        choice: &EndpointChoice,
    ) -> AdmissionDecision {
        let asked = admission_ask(ask);
        let (tokens, unread) = (ask.prompt.tokens_in, choice.prefill_tokens);
        self.admission.record(&asked, tokens, unread);
        self.admission.decide(&asked, &self.pace, choice)
    }

    fn come_back(
        &self,
        ask: &FrontAsk<'_>,
        choice: &EndpointChoice,
    ) -> Micros {
        let asked = admission_ask(ask);
        self.admission
            .retry_after(&asked, &self.pace, choice, ask.spread)
    }

    fn send(
        &mut self,
        ask: &FrontAsk<'_>,
        engine: usize,
        choice: EndpointChoice,
        now: Micros,
    ) -> FrontSend {
        let prompt = ask.prompt;
        self.tickets += 1;
        let work = PendingPrefill {
            ticket: self.tickets,
            tokens: choice.prefill_tokens,
            memory_tokens: prompt.tokens_in,
            priority: ask.kind.rank,
            sent_at: now,
        };
        self.book.record_sent(choice.key, work);
        self.memory.record_fetches(&choice.plan, now);
        let saves = self.memory.plan_saves(WALL, &prompt.parts, &|_| true, now);
        if let Some(entry) = self.book.get_mut(choice.key) {
            let capacity = self.group.capacity_tokens;
            entry.parts.touch(WALL, &prompt.parts, capacity);
        }
        let unread = choice.prefill_tokens;
        self.pace
            .record_sent(prompt.tokens_in, unread, prompt.tokens_out);
        FrontSend {
            engine,
            choice,
            ticket: self.tickets,
            saves,
        }
    }

    /// Hears that an answer has begun.
    pub fn begun(
        &mut self,
        send: &FrontSend,
        took: Micros,
        is_first: bool,
    ) {
        self.book.record_first_token(send.choice.key, send.ticket);
        if is_first {
            let tokens = send.choice.ahead_tokens + f64::from(send.choice.prefill_tokens);
            let millis = took.as_millis() as f64 - send.choice.plan.fetch_ms;
            self.pace.record_first_token(tokens, millis);
        }
    }

    /// Hears that an answer has ended, or learns that it is lost; `held` is for
    /// how long the engine had it, where it had begun.
    pub fn ended(
        &mut self,
        send: &FrontSend,
        tokens_in: u32,
        held: Option<Micros>,
    ) {
        self.book.record_ended(send.choice.key, send.ticket);
        if let Some(held) = held {
            self.pace.record_ended(tokens_in, held.as_millis() as f64);
        }
    }
}

fn admission_ask<'a>(ask: &FrontAsk<'a>) -> AdmissionRequest<'a> {
    AdmissionRequest {
        route: &ask.kind.name,
        priority: ask.kind.rank,
        target_latency: ask.kind.aim(),
        time_left: ask.patience,
    }
}

fn engine_notice(
    engine: usize,
    domains: usize,
    spec: &EngineSpec,
) -> EndpointNotice {
    EndpointNotice {
        id: format!("engine-{engine}"),
        service: SERVICE.to_string(),
        address: Some(SocketAddr::from(([10, 0, 0, engine as u8], 80))),
        domain: domain_name(engine % domains),
        slots: spec.places,
        weights: vec![(MODEL.to_string(), VERSION)],
        ..EndpointNotice::default()
    }
}

fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}
