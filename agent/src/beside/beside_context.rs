use {
    super::{BesideMetrics, BesideSettings, FrontContacts, SentDigests, StateKeeper, StoreReads},
    pitchhitch_core::{
        serving::{
            EndpointNotice, EngineLoad, IncarnationOrder, IncarnationTracker, ListedIncarnation,
            NamespaceTag, PartId, ProofTracker, ProvenTable, SuspectTracker,
        },
        time::Micros,
    },
    pitchhitch_process::{ProcessClock, WakeSignal},
    pitchhitch_wire::beside::{BesideSocket, DigestPart},
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
const ANNOUNCE_PAUSE: Micros = Micros::from_secs(1);
/// Changes of kept parts that wait for the next digest at most.
const PENDING_LIMIT: usize = 4_000;

/// Longest time between two digests, unless the pause is longer: fronts take silence for a sign.
pub(crate) const QUIET_LIMIT: Micros = Micros::from_millis(250);
/// Reports that are read for one digest, and how often at least and at most.
const REPORTS_A_DIGEST: u64 = 3;
const REPORT_PAUSES: (Micros, Micros) = (Micros::from_millis(90), Micros::from_millis(200));
/// How often it is looked at least and at most what the engine keeps.
const KEPT_PAUSES: (Micros, Micros) = (Micros::from_millis(30), Micros::from_millis(150));

/// Weights that the engine should have, and whether it may load them now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Wanted {
    /// Version.
    pub version: u64,
    /// When a front last said that it is the engine's turn.
    pub turn_at: Option<Micros>,
}

/// What the tasks share.
#[derive(Debug, Default)]
pub(crate) struct BesideState {
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
    pub id_life: ListedIncarnation,
    /// Engine that leaves, and what is meant by its id as above.
    pub left: Option<(String, ListedIncarnation)>,
    /// Start of the engine's life, as it tells it itself.
    pub born: Option<u64>,
    /// What it tells of lives that were born earlier.
    pub watch: IncarnationTracker,
    /// Times that the engine was found to have forgotten what it kept.
    pub forgotten: u64,
    /// When digests were sent.
    pub sent: SentDigests,
    /// Copy of what fronts know.
    pub keeper: StateKeeper,
    /// Wanted weights by model.
    pub wanted: BTreeMap<String, Wanted>,
    /// Changes of kept parts that no digest has told yet.
    pub pending: VecDeque<DigestPart>,
    /// Whether the engine has forgotten what it kept before those.
    pub forgets: bool,
    /// Requests under which endpoints ended: a copy that outlives the fronts.
    pub suspects: SuspectTracker,
    /// Counters.
    pub metrics: BesideMetrics,
    /// Fronts that want to be told of all suspects.
    pub suspect_askers: BTreeSet<SocketAddr>,
    /// Fronts that want to be told all that the engine keeps.
    pub newcomers: BTreeSet<SocketAddr>,
    /// Fronts that greet.
    pub fronts: FrontContacts,
    /// Pause between two digests, by how many fronts there are.
    pub digest_pause: Micros,
    /// What fronts have read at the platform's store, by table.
    pub proofs: BTreeMap<ProvenTable, ProofTracker>,
    /// Whether one of them has come since the last digest.
    pub has_fresh_proofs: bool,
    /// Stores of kept parts that are read for all fronts.
    pub stores: StoreReads,
    announced_at: Option<Micros>,
    silent_fronts: usize,
    kept: HashMap<(NamespaceTag, PartId), u32>,
}

impl BesideState {
    /// Load of the engine as it is told: the time of the report means nothing to others.
    pub fn told_load(&self) -> EngineLoad {
        EngineLoad {
            at: Micros::ZERO,
            again_within: self.digest_pause.max(QUIET_LIMIT),
            changes_within: self.digest_pause,
            ..self.load
        }
    }

    /// Whether weights are wanted that the engine does not have.
    pub fn wants_order(&self) -> bool {
        let mut weights = self.weights.iter();
        weights.any(|(model, version)| self.wanted.get(model).is_some_and(|w| w.version > *version))
    }

    /// Pause between two reports; from the engine's own box they cost it nothing.
    pub fn report_pause(&self) -> Micros {
        let (least, most) = REPORT_PAUSES;
        Micros(self.digest_pause.0 / REPORTS_A_DIGEST)
            .max(least)
            .min(most)
    }

    /// Pause between two looks at what the engine keeps. Calls that may be held have no price; a
    /// busy engine exchanges what it does not use within a third of a second.
    pub fn kept_pause(&self) -> Micros {
        let (least, most) = KEPT_PAUSES;
        Micros(self.digest_pause.0 / REPORTS_A_DIGEST)
            .max(least)
            .min(most)
    }

    /// All that the engine keeps.
    pub fn kept(&self) -> Vec<DigestPart> {
        let kept = self.kept.iter().map(|((wall, id), tokens)| DigestPart {
            wall: *wall,
            id: *id,
            tokens: *tokens,
        });
        kept.collect()
    }

    /// The engine keeps nothing of what it kept before.
    pub fn forget(&mut self) {
        self.forgotten += 1;
        self.kept.clear();
        self.pending.clear();
        self.forgets = true;
    }

    /// Takes which life the engine tells of; false where that one is over, and what
    /// came with it says nothing.
    pub fn note_life(
        &mut self,
        born: Option<u64>,
        now: Micros,
    ) -> bool {
        let order = self.watch.order(self.born, born, now);
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
            self.forget();
        }
        true
    }

    /// Takes which engine a front means; true where that is news. Fronts that lag
    /// still mean the one that was at the address before: the one born later counts,
    /// or the one whose row was written last.
    pub fn note_id(
        &mut self,
        id: &str,
        life: ListedIncarnation,
    ) -> bool {
        let is_news = self.engine_id.as_deref() != Some(id);
        let is_later = life.is_later_than(&self.id_life);
        if is_news && self.engine_id.is_some() && !is_later {
            return false;
        }
        if is_later {
            self.id_life = life;
        }
        if is_news {
            self.engine_id = Some(id.to_string());
        }
        is_news
    }

    /// Takes what a front says of an engine's end. Fronts that lag still mean that it
    /// serves; only a later row or life takes the end back.
    pub fn note_end(
        &mut self,
        id: &str,
        life: ListedIncarnation,
        is_leaving: bool,
    ) {
        let is_known = self.left.as_ref().is_some_and(|(left, _)| left == id);
        let left = self.left.as_ref().map(|(_, left)| left);
        let is_later = left.is_none_or(|left| life.is_later_than(left));
        if is_leaving && (!is_known || is_later) {
            self.left = Some((id.to_string(), life));
        } else if !is_leaving && is_known && is_later {
            self.left = None;
        }
    }

    /// Whether what the engine keeps has changed since the last digest.
    pub fn has_changes(&self) -> bool {
        self.forgets || !self.pending.is_empty()
    }

    /// What fronts knew of the engine, and those that greet no more, where it is time to
    /// tell them.
    pub fn announcement(
        &mut self,
        now: Micros,
    ) -> Option<(EndpointNotice, Vec<SocketAddr>)> {
        let is_due = |at: Micros| now.since(at) >= ANNOUNCE_PAUSE;
        if !self.announced_at.is_none_or(is_due) {
            return None;
        }
        let silent = self.fronts.silent(now);
        let id = self.engine_id.as_deref()?;
        if self.left.as_ref().is_some_and(|(left, _)| left == id) {
            return None;
        }
        let notice = self.keeper.own_endpoint(id)?.clone();
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
    pub fn push_change(
        &mut self,
        part: DigestPart,
    ) {
        // Without fronts to tell, the oldest are of no use any more.
        if self.pending.len() >= PENDING_LIMIT {
            self.pending.pop_front();
        }
        match part.tokens {
            0 => self.kept.remove(&(part.wall, part.id)),
            tokens => self.kept.insert((part.wall, part.id), tokens),
        };
        self.pending.push_back(part);
    }
}

/// Everything that the tasks have in common.
#[derive(Debug)]
pub(crate) struct BesideContext {
    /// Settings.
    pub settings: BesideSettings,
    /// Clock.
    pub clock: ProcessClock,
    /// Socket for hellos and digests.
    pub socket: BesideSocket,
    /// Wakes the sending of digests: what a front tells of suspects goes to all others at
    /// once, as callers whose request has just failed ask the next front.
    pub digest_due: WakeSignal,
    /// Wakes the giving of orders.
    pub order_due: WakeSignal,
    state: RefCell<BesideState>,
    executor: LocalExecutor<'static>,
}

impl BesideContext {
    /// A context that knows nothing yet.
    pub fn new(
        settings: BesideSettings,
        socket: BesideSocket,
    ) -> Rc<Self> {
        Rc::new(BesideContext {
            settings,
            clock: ProcessClock::start(),
            socket,
            digest_due: WakeSignal::default(),
            order_due: WakeSignal::default(),
            state: RefCell::new(BesideState::default()),
            executor: LocalExecutor::new(),
        })
    }

    /// Current time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The shared state; never held over a wait.
    pub fn state(&self) -> RefMut<'_, BesideState> {
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
