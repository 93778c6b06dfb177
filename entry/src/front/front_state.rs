use {
    super::{is_engine, ConnectionPool, ExitProbe, FrontSettings, GreetingSchedule, StoreReaders},
    pitchhitch_core::{
        rollout::RolloutTable,
        serving::{
            AdmissionController, CacheNamespace, ConnectionGate, EndpointEntry, EndpointKey,
            EndpointRegistry, EngineRates, EraTracker, EvacuationSet, FailoverLimit,
            FetchCompletion, FrontCount, KeeperSet, KeyFreshness, KvStoreDirectory,
            LatencyEstimators, MemoryBudget, NamespaceTag, OriginLookups, OriginTable,
            OutageTracker, PauseDetector, PlainCosts, PromptPools, ProvenParts, ProvenTable,
            RetryWindow, RunTimes, SaveClaims, ServingConfig, SharingGroups, StoreEra,
            StreamSoftware, SuspectKey, SuspectTracker, SwapPlanner, TrialTable, REWRITE_DELAY,
        },
        time::Micros,
    },
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Assumed number of running fronts until engine agents report it.
const INITIAL_FRONTS: u32 = 4;
/// Time after the start within which the reports of suspects arrive, if any agent can send them. It
/// allows for some lost greetings.
const SUSPECT_REPORT_TIMEOUT: Micros = Micros::from_millis(500);
/// Maximum number of salts with a cached tag.
const MAX_NAMESPACES: usize = 1_000;

/// State that the tasks of a front share.
#[derive(Debug)]
pub(crate) struct FrontState {
    /// Configuration in force.
    pub config: Option<Rc<ServingConfig>>,
    /// Its text as stored in the platform store, for state snapshots.
    pub config_text: Vec<u8>,
    /// Engine agents that have sent digests; they may provide a state snapshot.
    pub known_agents: BTreeSet<SocketAddr>,
    pub registry: EndpointRegistry,
    /// Whether the endpoint list has been read in this incarnation.
    pub has_list: bool,
    /// When the endpoint list was as a peer has reported it, if that was applied since this front's
    /// last read. The changes that the next read shows do not lead from there to the list.
    pub reported_list_at: Option<Micros>,
    /// Outages of the platform store in which entries of the endpoint list may have lapsed.
    pub list_outages: OutageTracker,
    /// Age of the configuration.
    pub key_freshness: KeyFreshness,
    /// Eras of the platform store.
    pub eras: EraTracker,
    /// Reads of the platform store by this front and others.
    pub readers: StoreReaders,
    /// When the last digest of an engine agent was received.
    pub last_digest_at: Option<Micros>,
    /// Greetings that have been sent.
    pub greetings: GreetingSchedule,
    /// Era in which a read of this process last proved the configuration.
    pub proven_era: Option<StoreEra>,
    /// Failure domains that receive no new requests.
    pub evacuations: EvacuationSet,
    /// Roll-outs of endpoint software.
    pub rollouts: RolloutTable,
    /// Software that began the streams of recent callers.
    pub origins: OriginTable,
    /// Look-ups of origins that other fronts have reported.
    pub origin_lookups: OriginLookups,
    /// Agents that keep origins on behalf of all fronts.
    pub origin_keepers: KeeperSet,
    /// Agents that may keep origins: also those of engines that leave.
    pub origin_sources: KeeperSet,
    /// Software on which the streams of each route may have begun.
    pub stream_software: StreamSoftware,
    /// Whether a stream would wait in vain for its software to be recorded: the latest call for these
    /// rows failed, or a stream has waited in vain since.
    pub is_recording_stuck: bool,
    /// When software of serving endpoints is recorded that is not recorded yet.
    pub recording_due_at: Option<Micros>,
    /// Whether engines of one service have different software.
    pub has_mixed_software: bool,
    /// Decides which requests are refused under overload.
    pub admission: AdmissionController,
    /// Estimates of how fast engines process prompts, by size class.
    pub latency_estimators: LatencyEstimators,
    /// Engines reserved for short prompts.
    pub prompt_pools: PromptPools,
    /// Speeds of the engines.
    pub engine_rates: EngineRates,
    /// Costs of requests at endpoints of plain services.
    pub plain_costs: PlainCosts,
    /// KV stores and their known content.
    pub kv_store_directory: KvStoreDirectory,
    /// Claims of the parts that requests of this front save.
    pub save_claims: SaveClaims,
    /// Time before which all fetches of the engines have completed.
    pub fetch_completion: FetchCompletion,
    /// Published weights and the engines whose turn it is to load them.
    pub planner: SwapPlanner,
    /// Organisations that share cached parts.
    pub sharing_groups: SharingGroups,
    /// Idle connections to endpoints.
    pub pool: ConnectionPool,
    /// Probes of whether endpoints that closed connections have exited.
    pub exit_probes: HashMap<EndpointKey, ExitProbe>,
    /// Requests, and parts of prompts, during which endpoints crashed.
    pub suspects: SuspectTracker,
    /// Parts of prompts that endpoints have recently answered.
    pub proven_parts: ProvenParts,
    /// Running attempts of suspect requests.
    pub trials: TrialTable,
    /// Whether an agent has sent all known suspects in this incarnation.
    pub has_suspect_reports: bool,
    /// Whether to request all suspects: after the start and after a missed digest or a pause.
    pub wants_suspects: bool,
    /// Whether the blocked requests have been read from the platform store in this incarnation.
    pub has_blocked_rows: bool,
    /// Whether this front's row of blocked requests must be written again, because the platform
    /// store was restored from a snapshot that may lack it.
    pub needs_blocked_row_rewrite: bool,
    /// Detects pauses of the process itself.
    pub pause_detector: PauseDetector,
    /// Decides which new connections of callers are accepted.
    pub connection_gate: ConnectionGate,
    /// How long requests have recently run at endpoints.
    pub run_times: RunTimes,
    /// When the stop signal was received.
    pub stopping_since: Option<Micros>,
    /// Whether idle connections of callers are closed.
    pub closes_idle: bool,
    /// Bytes held for callers and endpoints.
    pub memory_budget: MemoryBudget,
    /// Known number of running fronts.
    pub fronts: u32,
    /// The highest of the recent counts of running fronts.
    pub front_count: FrontCount,
    retry_windows: HashMap<String, RetryWindow>,
    failover_limits: HashMap<String, FailoverLimit>,
    namespace_tags: HashMap<String, NamespaceTag>,
    next_ticket: u64,
}

impl FrontState {
    /// Creates an empty state.
    pub fn new(
        settings: &FrontSettings,
        incarnation: u64,
    ) -> Self {
        FrontState {
            config: None,
            config_text: Vec::new(),
            known_agents: BTreeSet::new(),
            registry: EndpointRegistry::default(),
            has_list: false,
            reported_list_at: None,
            list_outages: OutageTracker::new(settings.min_outage()),
            key_freshness: KeyFreshness::new(settings.key_limit, settings.key_policy),
            eras: EraTracker::default(),
            readers: StoreReaders::default(),
            last_digest_at: None,
            greetings: GreetingSchedule::default(),
            proven_era: None,
            evacuations: EvacuationSet::default(),
            rollouts: RolloutTable::default(),
            origins: OriginTable::default(),
            origin_lookups: OriginLookups::default(),
            origin_keepers: KeeperSet::default(),
            origin_sources: KeeperSet::default(),
            stream_software: StreamSoftware::default(),
            is_recording_stuck: false,
            recording_due_at: None,
            has_mixed_software: false,
            admission: AdmissionController::without(settings.disabled_mechanisms),
            latency_estimators: LatencyEstimators::without(settings.disabled_mechanisms),
            prompt_pools: PromptPools::default(),
            engine_rates: EngineRates::default(),
            plain_costs: PlainCosts::default(),
            kv_store_directory: KvStoreDirectory::without(settings.disabled_mechanisms),
            save_claims: SaveClaims::new(incarnation),
            fetch_completion: FetchCompletion::default(),
            planner: SwapPlanner::default(),
            sharing_groups: SharingGroups::default(),
            pool: ConnectionPool::default(),
            exit_probes: HashMap::new(),
            suspects: SuspectTracker::default(),
            proven_parts: ProvenParts::default(),
            trials: TrialTable::default(),
            has_suspect_reports: false,
            wants_suspects: true,
            has_blocked_rows: false,
            needs_blocked_row_rewrite: false,
            pause_detector: PauseDetector::default(),
            connection_gate: ConnectionGate::default(),
            run_times: RunTimes::default(),
            stopping_since: None,
            closes_idle: false,
            memory_budget: MemoryBudget::for_process(settings.memory_mb),
            fronts: INITIAL_FRONTS,
            front_count: FrontCount::default(),
            retry_windows: HashMap::new(),
            failover_limits: HashMap::new(),
            namespace_tags: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Records a complete read of the operator's table that was current at `proven_at`; `checksum`
    /// is that of its content.
    pub fn record_config_read(
        &mut self,
        checksum: u32,
        proven_at: Micros,
        now: Micros,
    ) {
        if self.eras.proves(proven_at) {
            self.key_freshness.record_read(proven_at);
            if self.eras.can_confirm(proven_at) {
                self.proven_era = self.eras.known();
            }
            let table = ProvenTable::Operator;
            self.readers.record_read(table, checksum, proven_at, now);
        }
    }

    /// Duration of the next long poll for changes of the configuration; `usual_wait` is its normal
    /// duration.
    pub fn next_poll_wait(
        &self,
        usual_wait: Micros,
        now: Micros,
    ) -> Micros {
        let uncertain_since = self.eras.uncertain_since();
        match uncertain_since.filter(|_| !self.eras.proves(now)) {
            // Ends the poll as soon as its successor can prove the configuration in force.
            Some(since) => usual_wait.min((since + REWRITE_DELAY).since(now)),
            None if self.key_freshness.is_overdue(usual_wait, now) => Micros::ZERO,
            None => usual_wait,
        }
    }

    /// Whether the process has just resumed from a pause and its view of the KV stores is still
    /// stale.
    pub fn is_recovering(
        &self,
        now: Micros,
    ) -> bool {
        self.pause_detector.has_just_resumed(now) && self.kv_store_directory.is_stale(now)
    }

    /// Whether the process has just started and still expects reports of requests during which
    /// endpoints crashed. Engine agents report them in response to the first greeting; the platform
    /// store has the blocked ones.
    pub fn awaits_suspects(
        &self,
        now: Micros,
    ) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        // Time counts from the start of the process.
        let has_reports = self.has_suspect_reports && self.has_blocked_rows;
        let is_waiting = !has_reports && now < SUSPECT_REPORT_TIMEOUT;
        is_waiting
            && self
                .registry
                .iter()
                .any(|(_, entry)| is_engine(config, entry))
    }

    /// When an endpoint last answered this front with a suspect, if that is a part of prompts and was
    /// recently.
    pub fn part_proof(
        &self,
        key: SuspectKey,
        now: Micros,
    ) -> Option<Micros> {
        match key {
            SuspectKey::Part(part) => self.proven_parts.proven_at(part, now),
            SuspectKey::Request(_) => None,
        }
    }

    /// Whether an endpoint of a service may receive requests now: its failure domain is not
    /// evacuated, it has not asked for rest, the limit that it states admits one more and, if
    /// `starts_slowly`, so does its slow start.
    pub fn is_available(
        &self,
        entry: &EndpointEntry,
        starts_slowly: bool,
        now: Micros,
    ) -> bool {
        !self.evacuations.contains(&entry.domain)
            && entry.rest.admits(now)
            && entry.stated_limit.admits(self.sharing_fronts(), now)
            && (!starts_slowly || entry.slow_start.admits(now))
    }

    /// Number of fronts that share out a limit.
    pub fn sharing_fronts(&self) -> u32 {
        self.front_count.highest().unwrap_or(INITIAL_FRONTS)
    }

    /// Allocates a unique number for a request.
    pub fn allocate_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Window that limits the retries of a service.
    pub fn retry_window(
        &mut self,
        service: &str,
    ) -> &mut RetryWindow {
        if !self.retry_windows.contains_key(service) {
            self.retry_windows
                .insert(service.to_string(), RetryWindow::default());
        }
        self.retry_windows.entry(service.to_string()).or_default()
    }

    /// Bounds the requests that leave endpoints of a service.
    pub fn failover_limit(
        &mut self,
        service: &str,
    ) -> &mut FailoverLimit {
        self.failover_limits.entry(service.to_string()).or_default()
    }

    /// Tag of the cache namespace with a salt.
    pub fn namespace_tag(
        &mut self,
        salt: &str,
    ) -> NamespaceTag {
        if let Some(tag) = self.namespace_tags.get(salt) {
            return *tag;
        }
        if self.namespace_tags.len() >= MAX_NAMESPACES {
            self.namespace_tags.clear();
        }
        let tag = NamespaceTag::of(salt);
        self.namespace_tags.insert(salt.to_string(), tag);
        tag
    }

    /// All known cache namespaces that this product created, with their tags.
    pub fn namespaces(&self) -> Vec<(CacheNamespace, NamespaceTag)> {
        let namespace_tags = self.namespace_tags.iter();
        namespace_tags
            .filter_map(|(salt, tag)| Some((CacheNamespace::parse(salt)?, *tag)))
            .collect()
    }

    /// When the endpoint list known here was last proven to be the newest.
    pub fn list_proven_at(&self) -> Option<Micros> {
        self.readers.table(ProvenTable::Endpoints)?.proven_at()
    }

    /// Time since the endpoint list known here was last proven to be the newest.
    pub fn list_age(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        self.list_proven_at().map(|at| now.since(at))
    }

    /// Whether another front has read a different endpoint list since the one known here.
    pub fn is_list_superseded(
        &self,
        now: Micros,
    ) -> bool {
        let proofs = self.readers.table(ProvenTable::Endpoints);
        proofs.is_some_and(|proofs| proofs.is_outdated(now))
    }

    /// Whether the process can serve requests.
    pub fn is_ready(
        &self,
        now: Micros,
    ) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let has_keys = !config.organisations.is_empty();
        let are_keys_ready = !has_keys || self.key_freshness.is_ready(now);
        let are_suspects_ready = !self.awaits_suspects(now);
        self.stopping_since.is_none() && self.has_list && are_keys_ready && are_suspects_ready
    }
}
