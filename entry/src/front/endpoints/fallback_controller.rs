use {
    crate::front::{is_engine, FrontContext, FrontState, OrderLease, OrphanEngine},
    pitchhitch_core::{
        serving::{EndpointEntry, EndpointKey},
        time::Micros,
    },
    pitchhitch_platform::{StoreClient, StoreError},
    smol::LocalExecutor,
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// Interval of checks for engines without a working agent.
const POLL_INTERVAL: Micros = Micros::from_millis(300);
/// Time after which the agent of an engine with outdated weights counts as failed, from when it no
/// longer reports in time (see [`is_reporting`]).
const AGENT_TIMEOUT: Micros = Micros::from_millis(4_000);
/// Maximum number of engines whose reports are read concurrently: enough for those that may load
/// weights at the same time, and some more.
const MAX_CONCURRENT_REPORTS: usize = 48;
/// Timeout of a call to the platform store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum time between two warnings about engines that get no orders from their agents.
const WARNING_INTERVAL: Micros = Micros::from_secs(5);

/// Gives orders to engines without a working agent: it is not running, or its box has failed or is
/// unreachable. Without these orders such engines would never load new weights, and would serve
/// nothing once theirs had expired.
struct FallbackController {
    front: Rc<FrontContext>,
    store: StoreClient,
    lease: OrderLease,
    orphans: BTreeMap<EndpointKey, OrphanEngine>,
    silent_since: BTreeMap<EndpointKey, Micros>,
    warned_at: Option<Micros>,
    was_held: bool,
}

/// Gives orders in place of missing engine agents while this front holds the lease.
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
        let outdated = self.outdated_engines(now);
        self.orphans.retain(|key, _| outdated.contains_key(key));
        if outdated.is_empty() {
            return self.release_lease().await;
        }
        let lease_result = self.lease.step(&front, &mut self.store).await;
        let is_held = self.lease.is_held(front.now());
        self.log_lease_change(is_held, outdated.len());
        self.warn_unordered(outdated.len(), is_held, now);
        lease_result?;
        if !is_held {
            return Ok(());
        }
        for (key, address) in outdated {
            let orphan = self.orphans.entry(key);
            orphan.or_insert_with(|| OrphanEngine::new(&front, key, address));
        }
        self.read_reports().await;
        // A paused box pauses its engine and the agent together, so engines that do not respond are
        // skipped: if this front acquired the right meanwhile, the agent would have to reacquire it
        // and wait.
        let responsive = self
            .orphans
            .values_mut()
            .filter(|o| o.is_responsive(front.now()));
        for orphan in responsive {
            // Acquired before the engine's turn, since a new holder of the right has to wait before
            // its first order.
            orphan.acquire_right(&front, &mut self.store).await?;
            orphan.send_due_order(&front, &mut self.store).await?;
        }
        Ok(())
    }

    /// Reads the reports of several engines concurrently, so that unreachable engines do not delay
    /// the others.
    async fn read_reports(&mut self) {
        let front = self.front.clone();
        let executor = LocalExecutor::new();
        // The engines that have waited longest are polled first, so that many unreachable engines
        // do not starve the others.
        let mut orphans: Vec<&mut OrphanEngine> = self.orphans.values_mut().collect();
        orphans.sort_by_key(|orphan| orphan.polled_at());
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

    /// Engines with outdated weights whose agents have not been reporting for [`AGENT_TIMEOUT`].
    fn outdated_engines(
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
        let mut outdated = BTreeMap::new();
        for (key, address) in silent {
            let since = *self.silent_since.entry(key).or_insert(now);
            let is_outdated = state
                .registry
                .get(key)
                .is_some_and(|e| has_outdated_weights(&state, e));
            if is_outdated && now.since(since) >= AGENT_TIMEOUT {
                outdated.insert(key, address);
            }
        }
        outdated
    }

    /// Warns that engines with outdated weights get no orders from their agents, and logs whether
    /// this front gives orders instead.
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
            reason = "no reports from their engine agents",
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

/// Whether the agent of an engine has sent a digest recently.
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

/// Whether an engine is known to have older weights than the published ones.
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
