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
const POLL_INTERVAL: Micros = Micros::from_millis(300);
/// Time for which an engine that lacks weights must not have been heard.
const AGENT_TIMEOUT: Micros = Micros::from_millis(4_000);
/// Engines that are asked for reports at once: those that may load, and some more.
const MAX_CONCURRENT_REPORTS: usize = 48;
/// Time limit of a call of the platform's store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause between two lines that tell of engines which serve nothing for want of orders.
const WARNING_INTERVAL: Micros = Micros::from_secs(5);

/// One front gives orders to engines beside which nobody stands: their process is missing, has
/// ended with its box or is cut off. Without it such engines kept replaced weights for good, and
/// served nothing once these were too old.
struct FallbackController {
    front: Rc<FrontContext>,
    store: StoreClient,
    lease: OrderLease,
    orphans: BTreeMap<EndpointKey, OrphanEngine>,
    silent_since: BTreeMap<EndpointKey, Micros>,
    warned_at: Option<Micros>,
    was_held: bool,
}

/// Stands in for processes beside engines that are not there, for as long as this front holds
/// the lease on that.
pub(crate) async fn run_fallback_controller(front: Rc<FrontContext>) {
    let mut controller = FallbackController {
        store: StoreClient::new(front.settings.store, STORE_TIMEOUT),
        lease: OrderLease::new(&front),
        orphans: BTreeMap::new(),
        silent_since: BTreeMap::new(),
        warned_at: None,
        was_held: false,
        front,
    };
    loop {
        controller.front.sleep_coalesced(POLL_INTERVAL).await;
        if let Err(error) = controller.poll().await {
            let error = error.to_string();
            log::warn!(event = "store-lost", watch = "orders", error = error.as_str(); "");
        }
    }
}

impl FallbackController {
    async fn poll(&mut self) -> Result<(), StoreError> {
        let front = self.front.clone();
        let now = front.now();
        let behind = self.engines_behind(now);
        self.orphans.retain(|key, _| behind.contains_key(key));
        if behind.is_empty() {
            return self.release_lease().await;
        }
        let lease_result = self.lease.step(&front, &mut self.store).await;
        let is_held = self.lease.is_held(front.now());
        self.log_lease_change(is_held, behind.len());
        self.warn_unordered(behind.len(), is_held, now);
        lease_result?;
        if !is_held {
            return Ok(());
        }
        for (key, address) in behind {
            let orphan = self.orphans.entry(key);
            orphan.or_insert_with(|| OrphanEngine::new(&front, key, address));
        }
        self.read_reports().await;
        // A box that stands still does so with the process beside its engine, which would have
        // to take the right back and wait.
        let responsive = self
            .orphans
            .values_mut()
            .filter(|o| o.is_responsive(front.now()));
        for orphan in responsive {
            // Before its turn, as a new holder has to wait.
            orphan.acquire_right(&front, &mut self.store).await?;
            orphan.send_due_order(&front, &mut self.store).await?;
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
        let polled = orphans.into_iter().take(MAX_CONCURRENT_REPORTS);
        let reports: Vec<_> = polled
            .map(|orphan| executor.spawn(orphan.poll_report(&front)))
            .collect();
        let all = async {
            for report in reports {
                report.await;
            }
        };
        executor.run(all).await;
    }

    /// Engines that lack named weights and that were not heard for long.
    fn engines_behind(
        &mut self,
        now: Micros,
    ) -> BTreeMap<EndpointKey, SocketAddr> {
        let state = self.front.state();
        let Some(config) = &state.config else {
            return BTreeMap::new();
        };
        let is_orphan = |entry: &EndpointEntry| {
            entry.is_listed() && is_engine(config, entry) && !is_reporting(entry, now)
        };
        let silent = state.registry.iter().filter(|(_, entry)| is_orphan(entry));
        let silent: BTreeMap<EndpointKey, SocketAddr> =
            silent.map(|(key, entry)| (key, entry.address)).collect();
        self.silent_since.retain(|key, _| silent.contains_key(key));
        let mut behind = BTreeMap::new();
        for (key, address) in silent {
            let since = *self.silent_since.entry(key).or_insert(now);
            let is_behind = state
                .registry
                .get(key)
                .is_some_and(|e| has_outdated_weights(&state, e));
            if is_behind && now.since(since) >= AGENT_TIMEOUT {
                behind.insert(key, address);
            }
        }
        behind
    }

    /// Requests are refused for weights that nobody loads: that is told with its reason.
    fn warn_unordered(
        &mut self,
        engines: usize,
        is_held: bool,
        now: Micros,
    ) {
        if self
            .warned_at
            .is_some_and(|at| now.since(at) < WARNING_INTERVAL)
        {
            return;
        }
        self.warned_at = Some(now);
        log::warn!(
            event = "weights-unordered",
            engines = engines,
            reason = "no process beside them is heard",
            stands_in = is_held;
            ""
        );
    }

    fn log_lease_change(
        &mut self,
        is_held: bool,
        engines: usize,
    ) {
        if is_held != self.was_held {
            self.was_held = is_held;
            log::info!(event = "order-lease", held = is_held, engines = engines; "");
        }
    }

    async fn release_lease(&mut self) -> Result<(), StoreError> {
        if !self.was_held {
            return Ok(());
        }
        self.log_lease_change(false, 0);
        let front = self.front.clone();
        self.lease.release(&front, &mut self.store).await
    }
}

/// Whether the process beside an engine has been heard lately.
fn is_reporting(
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
fn has_outdated_weights(
    state: &FrontState,
    entry: &EndpointEntry,
) -> bool {
    let mut published = state.planner.published_versions();
    published.any(|(model, version)| {
        let known = entry.weights.version(model);
        known.is_some_and(|known| known < version)
    })
}
