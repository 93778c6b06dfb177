use {
    super::{EngineSpec, FrontDecision, FrontRequest, RoutedRequest, SimStore},
    pitchhitch_core::{
        serving::{
            pick_endpoint, AdmissionController, AdmissionDecision, AdmissionRequest,
            AdmissionScope, EndpointChoice, EndpointKey, EndpointNotice, EndpointRegistry,
            EngineConfig, KvStoreDirectory, LatencyEstimator, MechanismSet, NamespaceTag,
            PendingPrefill, PickRequest, PromptInfo, PromptPools, PromptSize, VersionAvailability,
            WeightBounds,
        },
        time::Micros,
    },
    std::net::SocketAddr,
};

/// The model that all engines serve, and the version of its weights.
pub(super) const MODEL: &str = "m";
const VERSION: u64 = 1;
/// The cache namespace of all shared parts.
pub const NAMESPACE: NamespaceTag = NamespaceTag(1);
const SERVICE: &str = "engines";

/// One front: the product's decision code with its state.
#[derive(Debug)]
pub struct SimFront {
    /// Index of its failure domain.
    pub domain: usize,
    /// Engines, as this front knows them.
    pub registry: EndpointRegistry,
    /// Stores, as this front knows them.
    pub store_directory: KvStoreDirectory,
    /// Latencies that it has learned.
    pub estimator: LatencyEstimator,
    admission: AdmissionController,
    keys: Vec<EndpointKey>,
    group: EngineConfig,
    tickets: u64,
    fronts: u32,
    disabled: MechanismSet,
}

impl SimFront {
    /// Creates a front that has just learned of all engines and stores.
    pub fn new(
        domain: usize,
        domains: usize,
        spec: &EngineSpec,
        stores: &[SimStore],
        fronts: usize,
        disabled: MechanismSet,
    ) -> Self {
        let mut registry = EndpointRegistry::default();
        let mut keys = Vec::new();
        for engine in 0..spec.count {
            let notice = engine_notice(engine, domains, spec);
            registry.apply(&notice);
            keys.extend(registry.key(&notice.id));
        }
        let mut store_directory = KvStoreDirectory::without(disabled);
        let notices: Vec<_> = stores.iter().map(SimStore::notice).collect();
        store_directory.set_stores(&notices);
        SimFront {
            domain,
            registry,
            store_directory,
            estimator: LatencyEstimator::without(disabled),
            admission: AdmissionController::without(disabled),
            keys,
            group: EngineConfig {
                slots: spec.places,
                capacity_tokens: spec.memory_tokens,
                token_bytes: spec.token_bytes,
                link_mbps: spec.link_mbps,
                models: vec![MODEL.to_string()],
            },
            tickets: 0,
            fronts: fronts as u32,
            disabled,
        }
    }

    /// Registry key of an engine.
    pub fn key(
        &self,
        engine: usize,
    ) -> EndpointKey {
        self.keys[engine]
    }

    /// Index of the engine with a registry key.
    pub fn engine(
        &self,
        key: EndpointKey,
    ) -> Option<usize> {
        self.keys.iter().position(|known| *known == key)
    }

    /// Admits or refuses a request, and picks its engine.
    pub fn decide(
        &mut self,
        request: &FrontRequest<'_>,
        now: Micros,
    ) -> FrontDecision {
        let Some(choice) = self.pick(request, now) else {
            return FrontDecision::NoEngine;
        };
        // Admission applies to the first attempt only: a request once admitted is carried through.
        if request.tried.is_empty()
            && self.decide_admission(request, &choice, now) != AdmissionDecision::Admitted
        {
            return FrontDecision::Refused(self.retry_after(request, &choice, now));
        }
        match self.engine(choice.key) {
            Some(engine) => {
                FrontDecision::Routed(Box::new(self.route(request, engine, choice, now)))
            }
            None => FrontDecision::NoEngine,
        }
    }

    fn pick(
        &self,
        request: &FrontRequest<'_>,
        now: Micros,
    ) -> Option<EndpointChoice> {
        let availability = self.availability(request.prompt, now);
        let tried: Vec<EndpointKey> = request
            .tried
            .iter()
            .map(|engine| self.key(*engine))
            .collect();
        let pick = PickRequest {
            trial: None,
            is_eligible: &|_| true,
            is_connected: &|_| true,
            service: SERVICE,
            domain: &domain_name(self.domain),
            prompt: Some(request.prompt),
            priority: request.kind.rank,
            tried: &tried,
            size: PromptSize::Long,
            target_latency: Micros::ZERO,
            pools: &PromptPools::default(),
            estimator: &self.estimator,
            weights: WeightBounds::default(),
            disabled: self.disabled,
            now,
        };
        pick_endpoint(&self.registry, &pick, &availability)
    }

    fn availability(
        &self,
        prompt: &PromptInfo,
        now: Micros,
    ) -> Vec<VersionAvailability> {
        let (registry, group) = (&self.registry, &self.group);
        let parts =
            self.store_directory
                .locate_parts(registry, group, NAMESPACE, &prompt.parts, now);
        vec![VersionAvailability {
            version: VERSION,
            namespace: NAMESPACE,
            parts,
        }]
    }

    fn decide_admission(
        &mut self,
        request: &FrontRequest<'_>,
        choice: &EndpointChoice,
        now: Micros,
    ) -> AdmissionDecision {
        let input = self.admission_request(request, choice, now);
        let (tokens, prefill_tokens) = (request.prompt.tokens_in, choice.prefill_tokens);
        self.admission.record(&input, tokens, prefill_tokens);
        self.admission.decide(&input, &self.estimator, choice)
    }

    fn admission_request<'a>(
        &self,
        request: &FrontRequest<'a>,
        choice: &EndpointChoice,
        now: Micros,
    ) -> AdmissionRequest<'a> {
        AdmissionRequest {
            route: &request.kind.name,
            priority: request.kind.rank,
            target_latency: request.kind.target_latency(),
            time_left: request.time_left,
            scope: AdmissionScope {
                organisation: None,
                fronts: self.fronts,
                engines: choice.candidates.max(1),
                now,
            },
        }
    }

    fn retry_after(
        &self,
        request: &FrontRequest<'_>,
        choice: &EndpointChoice,
        now: Micros,
    ) -> Micros {
        let input = self.admission_request(request, choice, now);
        self.admission
            .retry_after(&input, &self.estimator, choice, request.jitter)
    }

    fn route(
        &mut self,
        request: &FrontRequest<'_>,
        engine: usize,
        choice: EndpointChoice,
        now: Micros,
    ) -> RoutedRequest {
        let prompt = request.prompt;
        self.tickets += 1;
        let work = PendingPrefill {
            ticket: self.tickets,
            tokens: choice.prefill_tokens,
            memory_tokens: prompt.tokens_in,
            priority: request.kind.rank,
            sent_at: now,
        };
        self.registry.record_sent(choice.key, work);
        self.store_directory.record_fetches(&choice.plan, now);
        let saves = self
            .store_directory
            .plan_saves(NAMESPACE, &prompt.parts, &|_| true, now);
        if let Some(entry) = self.registry.get_mut(choice.key) {
            let capacity = self.group.capacity_tokens;
            entry.parts.touch(NAMESPACE, &prompt.parts, capacity);
        }
        let prefill_tokens = choice.prefill_tokens;
        self.estimator
            .record_sent(prompt.tokens_in, prefill_tokens, prompt.tokens_out);
        RoutedRequest {
            engine,
            choice,
            ticket: self.tickets,
            saves,
        }
    }

    /// Records the first token of a response.
    pub fn on_first_token(
        &mut self,
        routed: &RoutedRequest,
        took: Micros,
        is_first: bool,
    ) {
        self.registry
            .record_first_token(routed.choice.key, routed.ticket);
        if is_first {
            let tokens = routed.choice.ahead_tokens + f64::from(routed.choice.prefill_tokens);
            let millis = took.as_millis() as f64 - routed.choice.plan.fetch_ms;
            self.estimator
                .record_first_token(tokens, millis / routed.choice.rate);
        }
    }

    /// Records the end of a response or its loss; `held` is the time that the engine had it, if a
    /// token had arrived.
    pub fn on_ended(
        &mut self,
        routed: &RoutedRequest,
        tokens_in: u32,
        held: Option<Micros>,
    ) {
        self.registry.record_ended(routed.choice.key, routed.ticket);
        if let Some(held) = held {
            self.estimator
                .record_ended(tokens_in, held.as_millis() as f64);
        }
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
