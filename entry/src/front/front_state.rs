use {
    super::{is_engine, ConnectionPool, ExitProbe, FrontSettings, GreetingSchedule, StoreReaders},
    pitchhitch_core::{
        serving::{
            AdmissionController, CacheNamespace, EndpointEntry, EndpointKey, EndpointRegistry,
            EraTracker, EvacuationSet, FetchCompletion, KeyFreshness, LatencyEstimator,
            NamespaceTag, PauseDetector, ProvenTable, RetryWindow, ServingConfig, StoreDirectory,
            StoreEra, SuspectTracker, SwapPlanner, TrialTable, REWRITE_DELAY,
        },
        time::Micros,
    },
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Fronts that may live, until the processes beside engines say how many do.
const INITIAL_FRONTS: u32 = 4;
/// Time from its start in which a front is told of suspects, if anybody can: some greetings
/// may get lost.
const SUSPECT_REPORT_TIMEOUT: Micros = Micros::from_millis(500);
/// Salts whose tags are remembered.
const MAX_NAMESPACES: usize = 1_000;

/// What the tasks of a front share.
#[derive(Debug)]
pub(crate) struct FrontState {
    /// Configuration in force.
    pub config: Option<Rc<ServingConfig>>,
    /// Its text, as the store holds it, to be handed on.
    pub config_text: Vec<u8>,
    /// Processes beside engines that were heard: they may hand state on.
    pub known_agents: BTreeSet<SocketAddr>,
    /// Endpoints.
    pub registry: EndpointRegistry,
    /// Whether the list of endpoints has been read in this life.
    pub has_list: bool,
    /// Age of the configuration.
    pub key_freshness: KeyFreshness,
    /// Eras of the platform's store.
    pub eras: EraTracker,
    /// Who has read the platform's store, and when.
    pub readers: StoreReaders,
    /// When the process beside an engine was last heard.
    pub last_digest_at: Option<Micros>,
    /// Whom this front has greeted.
    pub greetings: GreetingSchedule,
    /// Era in which a reading of this process last proved the configuration.
    pub proven_era: Option<StoreEra>,
    /// Failure domains that get nothing new.
    pub evacuations: EvacuationSet,
    /// What is refused while engines are behind.
    pub admission: AdmissionController,
    /// What is learned of how engines take prompts.
    pub latency_estimator: LatencyEstimator,
    /// Stores and what is known of their content.
    pub store_directory: StoreDirectory,
    /// Until when engines' fetches are proven to be over.
    pub fetch_completion: FetchCompletion,
    /// Named weights and whose turn it is to load them.
    pub planner: SwapPlanner,
    /// Unused connections.
    pub pool: ConnectionPool,
    /// Whether endpoints that broke connections off have ended.
    pub exit_probes: HashMap<EndpointKey, ExitProbe>,
    /// Requests under which endpoints ended.
    pub suspects: SuspectTracker,
    /// Runs of such requests.
    pub trials: TrialTable,
    /// Whether somebody has told of all such requests in this life.
    pub has_suspect_reports: bool,
    /// Whether to ask for all of them: at the start, and where something was missed.
    pub wants_suspects: bool,
    /// Whether the store has told which are held back, in this life.
    pub has_held_rows: bool,
    /// Whether the store has lost the rows that tell which are held back.
    pub rewrites_held_row: bool,
    /// Whether the process itself stood still.
    pub pause_detector: PauseDetector,
    /// Since when the process has been asked to stop.
    pub stopping_since: Option<Micros>,
    /// Whether connections that rest are closed.
    pub closes_idle: bool,
    /// Bytes of the bodies of those.
    pub body_bytes: u64,
    /// Requests that are being served.
    pub running: u32,
    /// Fronts that live, as far as is known.
    pub fronts: u32,
    retry_windows: HashMap<String, RetryWindow>,
    namespace_tags: HashMap<String, NamespaceTag>,
    next_ticket: u64,
}

impl FrontState {
    /// Nothing is known yet.
    pub fn new(settings: &FrontSettings) -> Self {
        FrontState {
            config: None,
            config_text: Vec::new(),
            known_agents: BTreeSet::new(),
            registry: EndpointRegistry::default(),
            has_list: false,
            key_freshness: KeyFreshness::new(settings.key_limit, settings.key_policy),
            eras: EraTracker::default(),
            readers: StoreReaders::default(),
            last_digest_at: None,
            greetings: GreetingSchedule::default(),
            proven_era: None,
            evacuations: EvacuationSet::default(),
            admission: AdmissionController::without(settings.disabled_mechanisms),
            latency_estimator: LatencyEstimator::without(settings.disabled_mechanisms),
            store_directory: StoreDirectory::without(settings.disabled_mechanisms),
            fetch_completion: FetchCompletion::default(),
            planner: SwapPlanner::default(),
            pool: ConnectionPool::default(),
            exit_probes: HashMap::new(),
            suspects: SuspectTracker::default(),
            trials: TrialTable::default(),
            has_suspect_reports: false,
            wants_suspects: true,
            has_held_rows: false,
            rewrites_held_row: false,
            pause_detector: PauseDetector::default(),
            stopping_since: None,
            closes_idle: false,
            body_bytes: 0,
            running: 0,
            fronts: INITIAL_FRONTS,
            retry_windows: HashMap::new(),
            namespace_tags: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Takes that the operator's rows were read whole as of then; `mark` is the number of their
    /// content.
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

    /// For how long the next question for changes of the configuration may be held at the
    /// store, where that is `usual` while all is well.
    pub fn next_poll_wait(
        &self,
        usual_wait: Micros,
        now: Micros,
    ) -> Micros {
        let uncertain_since = self.eras.uncertain_since();
        match uncertain_since.filter(|_| !self.eras.proves(now)) {
            // The next one is to prove what is in force as soon as it can.
            Some(since) => usual_wait.min((since + REWRITE_DELAY).since(now)),
            None if self.key_freshness.is_overdue(usual_wait, now) => Micros::ZERO,
            None => usual_wait,
        }
    }

    /// Notes a request that is served from now on.
    pub fn begin_request(
        &mut self,
        body_bytes: u64,
    ) {
        self.running += 1;
        self.body_bytes += body_bytes;
    }

    /// Notes that a request is over.
    pub fn end_request(
        &mut self,
        body_bytes: u64,
    ) {
        self.running -= 1;
        self.body_bytes -= body_bytes;
    }

    /// Whether the process has just woken and what it knows of stores is not
    /// fresh again yet.
    pub fn is_recovering(
        &self,
        now: Micros,
    ) -> bool {
        self.pause_detector.has_just_resumed(now) && self.store_directory.is_stale(now)
    }

    /// Whether the process has just started and is about to be told under which requests
    /// endpoints ended: the processes beside engines answer its first greeting, and the store
    /// tells which requests are held back.
    pub fn awaits_suspects(
        &self,
        now: Micros,
    ) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        // The clock starts with the process.
        let has_reports = self.has_suspect_reports && self.has_held_rows;
        let is_waiting = !has_reports && now < SUSPECT_REPORT_TIMEOUT;
        is_waiting && self.registry.iter().any(|(_, entry)| is_engine(config, entry))
    }

    /// Whether an endpoint of a service may get requests now: its failure domain is not evacuated,
    /// and it bears one more where endpoints of the service start slowly.
    pub fn is_available(
        &self,
        entry: &EndpointEntry,
        starts_slowly: bool,
        now: Micros,
    ) -> bool {
        let is_evacuated = self.evacuations.contains(&entry.domain);
        !is_evacuated && (!starts_slowly || entry.slow_start.admits(now))
    }

    /// A number for a request that no other has.
    pub fn allocate_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// The meter of repeats to a service.
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

    /// The tag of a salt.
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

    /// All salts of ours that have been seen, with their tags.
    pub fn namespaces(&self) -> Vec<(CacheNamespace, NamespaceTag)> {
        let namespace_tags = self.namespace_tags.iter();
        namespace_tags
            .filter_map(|(salt, tag)| Some((CacheNamespace::parse(salt)?, *tag)))
            .collect()
    }

    /// Whether the process can serve what it gets.
    pub fn is_ready(
        &self,
        now: Micros,
    ) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let has_keys = !config.organisations.is_empty();
        let are_keys_ready = !has_keys || self.key_freshness.is_ready(now);
        let has_suspects = !self.awaits_suspects(now);
        self.stopping_since.is_none() && self.has_list && are_keys_ready && has_suspects
    }
}
