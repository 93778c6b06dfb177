use {
    super::{
        EngineAgentMetrics, EngineAgentSettings, FrontContacts, PolledStores, SentDigests,
        SnapshotCache,
    },
    pitchhitch_core::{
        serving::{
            EndpointNotice, EngineLoad, IncarnationOrder, IncarnationTracker, ListedIncarnation,
            NamespaceTag, PartId, ProofTracker, ProvenTable, SuspectTracker,
        },
        time::Micros,
    },
    pitchhitch_process::{ProcessClock, WakeSignal},
    pitchhitch_wire::engine_agent::{DatagramSocket, DigestPart},
    smol::LocalExecutor,
    std::{
        cell::{RefCell, RefMut},
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        future::Future,
        net::SocketAddr,
        rc::Rc,
    },
};

/// Pause between two such words.
const ANNOUNCE_INTERVAL: Micros = Micros::from_secs(1);
/// Changes of kept parts that wait for the next digest at most.
const MAX_PENDING_CHANGES: usize = 4_000;

/// Longest time between two digests, unless the pause is longer: fronts take silence for a sign.
pub(crate) const MAX_DIGEST_INTERVAL: Micros = Micros::from_millis(250);
/// Reports that are read for one digest, and how often at least and at most.
const REPORTS_PER_DIGEST: u64 = 3;
const REPORT_INTERVAL_RANGE: (Micros, Micros) = (Micros::from_millis(90), Micros::from_millis(200));
/// How often it is looked at least and at most what the engine keeps.
const CACHE_POLL_INTERVAL_RANGE: (Micros, Micros) =
    (Micros::from_millis(30), Micros::from_millis(150));

/// Weights that the engine should have, and whether it may load them now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct WantedVersion {
    /// Version.
    pub version: u64,
    /// When a front last said that it is the engine's turn.
    pub turn_at: Option<Micros>,
}

/// What the tasks share.
#[derive(Debug, Default)]
pub(crate) struct EngineAgentState {
    /// Load of the engine, at its last report.
    pub load: EngineLoad,
    /// Models and versions of their weights, at the last report.
    pub weights: Vec<(String, u64)>,
    /// Orders that the engine has taken, at the last report.
    pub orders_taken: u64,
    /// Time on the engines' clock, in milliseconds, at the last report.
    pub clock_ms: Option<u64>,
    /// Id of the engine, as fronts tell it.
    pub engine_id: Option<String>,
    /// The life that they mean by it.
    pub id_incarnation: ListedIncarnation,
    /// Engine that leaves, and what is meant by its id as above.
    pub leaving: Option<(String, ListedIncarnation)>,
    /// Start of the engine's life, as it tells it itself.
    pub born: Option<u64>,
    /// What it tells of lives that were born earlier.
    pub incarnation_tracker: IncarnationTracker,
    /// Times that the engine was found to have forgotten what it kept.
    pub cache_resets: u64,
    /// When digests were sent.
    pub sent_digests: SentDigests,
    /// Copy of what fronts know.
    pub snapshot_cache: SnapshotCache,
    /// Wanted weights by model.
    pub wanted: BTreeMap<String, WantedVersion>,
    /// Changes of kept parts that no digest has told yet.
    pub pending_changes: VecDeque<DigestPart>,
    /// Whether the engine has forgotten what it kept before those.
    pub has_cache_reset: bool,
    /// Requests under which endpoints ended: a copy that outlives the fronts.
    pub suspects: SuspectTracker,
    /// Counters.
    pub metrics: EngineAgentMetrics,
    /// Fronts that want to be told of all suspects.
    pub suspect_requesters: BTreeSet<SocketAddr>,
    /// Fronts that want to be told all that the engine keeps.
    pub part_requesters: BTreeSet<SocketAddr>,
    /// Fronts that greet.
    pub fronts: FrontContacts,
    /// Pause between two digests, by how many fronts there are.
    pub digest_interval: Micros,
    /// What fronts have read at the platform's store, by table.
    pub proofs: BTreeMap<ProvenTable, ProofTracker>,
    /// Whether one of them has come since the last digest.
    pub has_new_proofs: bool,
    /// Stores of kept parts that are read for all fronts.
    pub stores: PolledStores,
    announced_at: Option<Micros>,
    silent_fronts: usize,
    cached_parts: HashMap<(NamespaceTag, PartId), u32>,
}

impl EngineAgentState {
    /// Load of the engine as it is told: the time of the report means nothing to others.
    pub fn reported_load(&self) -> EngineLoad {
        EngineLoad {
            at: Micros::ZERO,
            again_within: self.digest_interval.max(MAX_DIGEST_INTERVAL),
            changes_within: self.digest_interval,
            ..self.load
        }
    }

    /// Whether weights are wanted that the engine does not have.
    pub fn needs_order(&self) -> bool {
        let mut weights = self.weights.iter();
        weights.any(|(model, version)| {
            self.wanted
                .get(model)
                .is_some_and(|wanted| wanted.version > *version)
        })
    }

    /// Pause between two reports; from the engine's own box they cost it nothing.
    pub fn report_interval(&self) -> Micros {
        let (min, max) = REPORT_INTERVAL_RANGE;
        Micros(self.digest_interval.0 / REPORTS_PER_DIGEST)
            .max(min)
            .min(max)
    }

    /// Pause between two looks at what the engine keeps. Calls that may be held have no price; a
    /// busy engine exchanges what it does not use within a third of a second.
    pub fn cache_poll_interval(&self) -> Micros {
        let (min, max) = CACHE_POLL_INTERVAL_RANGE;
        Micros(self.digest_interval.0 / REPORTS_PER_DIGEST)
            .max(min)
            .min(max)
    }

    /// All that the engine keeps.
    pub fn cached_parts(&self) -> Vec<DigestPart> {
        let parts = self
            .cached_parts
            .iter()
            .map(|((namespace, id), tokens)| DigestPart {
                namespace: *namespace,
                id: *id,
                tokens: *tokens,
            });
        parts.collect()
    }

    /// The engine keeps nothing of what it kept before.
    pub fn reset_cache(&mut self) {
        self.cache_resets += 1;
        self.cached_parts.clear();
        self.pending_changes.clear();
        self.has_cache_reset = true;
    }

    /// Takes which life the engine tells of; false where that one is over, and what
    /// came with it says nothing.
    pub fn record_incarnation(
        &mut self,
        born: Option<u64>,
        now: Micros,
    ) -> bool {
        let order = self.incarnation_tracker.order(self.born, born, now);
        if order == IncarnationOrder::Earlier {
            return false;
        }
        self.born = born.or(self.born);
        if order == IncarnationOrder::Later {
            log::info!(event = "engine-reborn", born = born.unwrap_or(0); "");
            // The next report tells these of the life that has begun.
            self.load = EngineLoad::default();
            self.weights.clear();
            self.orders_taken = 0;
            self.reset_cache();
        }
        true
    }

    /// Takes which engine a front means; true where that is news. Fronts that lag
    /// still mean the one that was at the address before: the one born later counts,
    /// or the one whose row was written last.
    pub fn record_engine_id(
        &mut self,
        id: &str,
        incarnation: ListedIncarnation,
    ) -> bool {
        let is_new = self.engine_id.as_deref() != Some(id);
        let is_later = incarnation.is_later_than(&self.id_incarnation);
        if is_new && self.engine_id.is_some() && !is_later {
            return false;
        }
        if is_later {
            self.id_incarnation = incarnation;
        }
        if is_new {
            self.engine_id = Some(id.to_string());
        }
        is_new
    }

    /// Takes what a front says of an engine's end. Fronts that lag still mean that it
    /// serves; only a later row or life takes the end back.
    pub fn record_leaving(
        &mut self,
        id: &str,
        incarnation: ListedIncarnation,
        is_leaving: bool,
    ) {
        let is_known = self
            .leaving
            .as_ref()
            .is_some_and(|(leaving, _)| leaving == id);
        let leaving = self.leaving.as_ref().map(|(_, leaving)| leaving);
        let is_later = leaving.is_none_or(|leaving| incarnation.is_later_than(leaving));
        if is_leaving && (!is_known || is_later) {
            self.leaving = Some((id.to_string(), incarnation));
        } else if !is_leaving && is_known && is_later {
            self.leaving = None;
        }
    }

    /// Whether what the engine keeps has changed since the last digest.
    pub fn has_changes(&self) -> bool {
        self.has_cache_reset || !self.pending_changes.is_empty()
    }

    /// What fronts knew of the engine, and those that greet no more, where it is time to
    /// tell them.
    pub fn due_announcement(
        &mut self,
        now: Micros,
    ) -> Option<(EndpointNotice, Vec<SocketAddr>)> {
        let is_due = |at: Micros| now.since(at) >= ANNOUNCE_INTERVAL;
        if !self.announced_at.is_none_or(is_due) {
            return None;
        }
        let silent = self.fronts.silent(now);
        let id = self.engine_id.as_deref()?;
        if self
            .leaving
            .as_ref()
            .is_some_and(|(leaving, _)| leaving == id)
        {
            return None;
        }
        let notice = self.snapshot_cache.own_endpoint(id)?.clone();
        self.announced_at = Some(now);
        if silent.len() != self.silent_fronts {
            self.silent_fronts = silent.len();
            log::info!(event = "announced", engine = id, fronts = silent.len(); "");
        }
        if silent.is_empty() {
            return None;
        }
        Some((notice, silent))
    }

    /// Notes a change of what the engine keeps.
    pub fn record_change(
        &mut self,
        part: DigestPart,
    ) {
        // Without fronts to tell, the oldest are of no use any more.
        if self.pending_changes.len() >= MAX_PENDING_CHANGES {
            self.pending_changes.pop_front();
        }
        match part.tokens {
            0 => self.cached_parts.remove(&(part.namespace, part.id)),
            tokens => self.cached_parts.insert((part.namespace, part.id), tokens),
        };
        self.pending_changes.push_back(part);
    }
}

/// Everything that the tasks have in common.
#[derive(Debug)]
pub(crate) struct EngineAgentContext {
    /// Settings.
    pub settings: EngineAgentSettings,
    /// Clock.
    pub clock: ProcessClock,
    /// Socket for hellos and digests.
    pub socket: DatagramSocket,
    /// Wakes the sending of digests: what a front tells of suspects goes to all others at
    /// once, as callers whose request has just failed ask the next front.
    pub digest_due: WakeSignal,
    /// Wakes the giving of orders.
    pub order_due: WakeSignal,
    state: RefCell<EngineAgentState>,
    executor: LocalExecutor<'static>,
}

impl EngineAgentContext {
    /// A context that knows nothing yet.
    pub fn new(
        settings: EngineAgentSettings,
        socket: DatagramSocket,
    ) -> Rc<Self> {
        Rc::new(EngineAgentContext {
            settings,
            clock: ProcessClock::start(),
            socket,
            digest_due: WakeSignal::default(),
            order_due: WakeSignal::default(),
            state: RefCell::new(EngineAgentState::default()),
            executor: LocalExecutor::new(),
        })
    }

    /// Current time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The shared state; never held over a wait.
    pub fn state(&self) -> RefMut<'_, EngineAgentState> {
        self.state.borrow_mut()
    }

    /// Runs a task until it ends by itself.
    pub fn spawn(
        &self,
        task: impl Future<Output = ()> + 'static,
    ) {
        self.executor.spawn(task).detach();
    }

    /// Runs all tasks until `main` ends.
    pub async fn run<T>(
        &self,
        main: impl Future<Output = T>,
    ) -> T {
        self.executor.run(main).await
    }
}
