use {
    super::{is_engine, FrontContext, FrontState, OrderLease, OrphanEngine},
    pitchhitch_core::{
        serving::{EndpointEntry, EndpointKey},
        time::Micros,
    },
    pitchhitch_platform::{StoreClient, StoreError},
    smol::LocalExecutor,
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// How often it is looked for engines that nobody gives orders.
const LOOK_PAUSE: Micros = Micros::from_millis(300);
/// Time for which an engine that lacks weights must not have been heard.
const UNHEARD_FOR: Micros = Micros::from_millis(4_000);
/// Engines that are asked for reports at once: those that may load, and some more.
const REPORTS_LIMIT: usize = 48;
/// Time limit of a call of the platform's store.
const STORE_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause between two lines that tell of engines which serve nothing for want of orders.
const ALARM_PAUSE: Micros = Micros::from_secs(5);

/// One front gives orders to engines beside which nobody stands: their process is missing, has
/// ended with its box or is cut off. Without it such engines kept replaced weights for good, and
/// served nothing once these were too old.
struct OrderSubstitute {
    front: Rc<FrontContext>,
    store: StoreClient,
    lease: OrderLease,
    orphans: BTreeMap<EndpointKey, OrphanEngine>,
    unheard_since: BTreeMap<EndpointKey, Micros>,
    alarmed_at: Option<Micros>,
    held_before: bool,
}

/// Stands in for processes beside engines that are not there, for as long as this front holds
/// the lease on that.
pub(crate) async fn stand_in(front: Rc<FrontContext>) {
    let mut substitute = OrderSubstitute {
        store: StoreClient::new(front.settings.store, STORE_LIMIT),
        lease: OrderLease::new(&front),
        orphans: BTreeMap::new(),
        unheard_since: BTreeMap::new(),
        alarmed_at: None,
        held_before: false,
        front,
    };
    loop {
        substitute.front.rest(LOOK_PAUSE).await;
        if let Err(error) = substitute.look().await {
            let error = error.to_string();
            log::warn!(event = "store-lost", watch = "orders", error = error.as_str(); "");
        }
    }
}

impl OrderSubstitute {
    async fn look(&mut self) -> Result<(), StoreError> {
        let front = self.front.clone();
        let now = front.now();
        let lacking = self.lacking(now);
        self.orphans.retain(|key, _| lacking.contains_key(key));
        if lacking.is_empty() {
            return self.give_back().await;
        }
        let stepped = self.lease.step(&front, &mut self.store).await;
        let is_held = self.lease.is_held(front.now());
        self.note_lease(is_held, lacking.len());
        self.alarm(lacking.len(), is_held, now);
        stepped?;
        if !is_held {
            return Ok(());
        }
        for (key, address) in lacking {
            let orphan = self.orphans.entry(key);
            orphan.or_insert_with(|| OrphanEngine::new(&front, key, address));
        }
        self.read_reports().await;
        // A box that stands still does so with the process beside its engine, which would have
        // to take the right back and wait.
        let answering = self.orphans.values_mut().filter(|o| o.answers(front.now()));
        for orphan in answering {
            // Before its turn, as a new holder has to wait.
            orphan.hold(&front, &mut self.store).await?;
            orphan.order_due(&front, &mut self.store).await?;
        }
        Ok(())
    }

    /// Reads reports of several engines at once: those that are cut off keep no others waiting.
    async fn read_reports(&mut self) {
        let front = self.front.clone();
        let executor = LocalExecutor::new();
        // Those that wait longest go first: where many are cut off, others have their turn too.
        let mut orphans: Vec<&mut OrphanEngine> = self.orphans.values_mut().collect();
        orphans.sort_by_key(|orphan| orphan.reported_at());
        let asked = orphans.into_iter().take(REPORTS_LIMIT);
        let reports: Vec<_> = asked
            .map(|orphan| executor.spawn(orphan.report(&front)))
            .collect();
        let all = async {
            for report in reports {
                report.await;
            }
        };
        executor.run(all).await;
    }

    /// Engines that lack named weights and that were not heard for long.
    fn lacking(
        &mut self,
        now: Micros,
    ) -> BTreeMap<EndpointKey, SocketAddr> {
        let state = self.front.state();
        let Some(config) = &state.config else {
            return BTreeMap::new();
        };
        let is_orphan = |entry: &EndpointEntry| {
            entry.is_listed() && is_engine(config, entry) && !is_heard(entry, now)
        };
        let unheard = state.book.iter().filter(|(_, entry)| is_orphan(entry));
        let unheard: BTreeMap<EndpointKey, SocketAddr> =
            unheard.map(|(key, entry)| (key, entry.address)).collect();
        self.unheard_since
            .retain(|key, _| unheard.contains_key(key));
        let mut lacking = BTreeMap::new();
        for (key, address) in unheard {
            let since = *self.unheard_since.entry(key).or_insert(now);
            let is_behind = state.book.get(key).is_some_and(|e| lacks(&state, e));
            if is_behind && now.since(since) >= UNHEARD_FOR {
                lacking.insert(key, address);
            }
        }
        lacking
    }

    /// Requests are refused for weights that nobody loads: that is told with its reason.
    fn alarm(
        &mut self,
        engines: usize,
        is_held: bool,
        now: Micros,
    ) {
        if self
            .alarmed_at
            .is_some_and(|at| now.since(at) < ALARM_PAUSE)
        {
            return;
        }
        self.alarmed_at = Some(now);
        log::warn!(
            event = "weights-unordered",
            engines = engines,
            reason = "no process beside them is heard",
            stands_in = is_held;
            ""
        );
    }

    fn note_lease(
        &mut self,
        is_held: bool,
        engines: usize,
    ) {
        if is_held != self.held_before {
            self.held_before = is_held;
            log::info!(event = "order-lease", held = is_held, engines = engines; "");
        }
    }

    async fn give_back(&mut self) -> Result<(), StoreError> {
        if !self.held_before {
            return Ok(());
        }
        self.note_lease(false, 0);
        let front = self.front.clone();
        self.lease.release(&front, &mut self.store).await
    }
}

/// Whether the process beside an engine has been heard lately.
fn is_heard(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    let digest = entry.incarnation.digest.as_ref();
    let load = entry.load.as_ref();
    let again_within = load.map_or(Micros::ZERO, |load| load.again_within);
    let limit = Micros(again_within.0 * 3).max(Micros::from_millis(1_500));
    digest.is_some_and(|digest| now.since(digest.at) < limit)
}

/// Whether an engine is known to have older weights than are named.
fn lacks(
    state: &FrontState,
    entry: &EndpointEntry,
) -> bool {
    let mut named = state.planner.published_versions();
    named.any(|(model, version)| {
        let known = entry.weights.version(model);
        known.is_some_and(|known| known < version)
    })
}
