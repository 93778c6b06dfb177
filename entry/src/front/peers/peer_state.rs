use {
    crate::front::{
        apply_evacuations, apply_peer_list, begin_slow_start, handle_endpoint_changes, is_engine,
        is_list_outdated, list_known_at, log_outage, record_versions, stream_services,
        update_config, FrontContext, TableProofs,
    },
    pitchhitch_core::{
        serving::{stable_fraction, EndpointEntry, EndpointKey, ProvenTable, REPORT_TIMEOUT},
        time::Micros,
    },
    pitchhitch_platform::decode_config,
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::{fetch_snapshot, StateSnapshot, STATE_PATH},
    smol::Timer,
    std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Timeout of a request. Peers are a millisecond or two away, and a frozen one must not delay the
/// request to the next.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between two requests.
const POLL_INTERVAL: Micros = Micros::from_millis(100);
/// Time after the start for which peers are polled in any case: the store may have been restored
/// from a snapshot, or may briefly return an older configuration.
const MIN_BOOTSTRAP_TIME: Micros = Micros::from_millis(1_500);
/// Interval between two requests during [`STARTUP_PERIOD`]: peers may know that the store has been
/// restored from a snapshot.
const STARTUP_POLL_INTERVAL: Micros = Micros::from_millis(30);
const STARTUP_PERIOD: Micros = Micros::from_millis(250);
/// Interval between two requests if only the ages of publications are missing.
const AGE_POLL_INTERVAL: Micros = Micros::from_millis(400);

/// Interval between two requests while other fronts reach the store and this one does not.
const REFRESH_INTERVAL: Micros = Micros::from_millis(500);
/// Share of the limit on the age of keys above which peers are polled, in percent, so that the
/// front remains ready.
const REFRESH_PERCENT: u64 = 35;

/// Hash and age of this front's state snapshot, for greetings. `None` until the state is complete.
///
/// The hash is computed for each round. A cached one would have to be invalidated with the
/// configuration, with each publication and with every reported field of an endpoint (its status,
/// whether it may rejoin, its incarnation), and endpoints are changed in many places.
pub(crate) fn own_snapshot_hash(front: &FrontContext) -> Option<(u64, Micros)> {
    let state = snapshot_without_config(front)?;
    Some((state.content_hash(), state.age))
}

/// State snapshot without the text of the configuration.
fn snapshot_without_config(front: &FrontContext) -> Option<StateSnapshot> {
    let state = front.state();
    let config = state.config.as_ref().filter(|_| state.has_list)?;
    let now = front.now();
    Some(StateSnapshot {
        config: Vec::new(),
        version: config.version,
        age: state.key_freshness.age(now)?,
        era: state.proven_era,
        weights: state.planner.recent_publications(now),
        endpoints: state.registry.notices(),
        evacuated: state.evacuations.domains().map(str::to_string).collect(),
        rollouts: state.rollouts.records(),
        store_uptimes: state.kv_store_directory.store_uptimes(now),
        stream_software: state
            .stream_software
            .reports_with_seen(&stream_services(config)),
        list_age: list_known_at(&state).map(|at| now.since(at)),
    })
}

/// State snapshot of this front.
fn own_snapshot(front: &FrontContext) -> Option<StateSnapshot> {
    let state = snapshot_without_config(front)?;
    Some(StateSnapshot {
        config: front.state().config_text.clone(),
        ..state
    })
}

/// Serves the state snapshot to another process.
pub(crate) fn serve_snapshot(
    front: &FrontContext,
    target: &str,
) -> (u16, Vec<u8>) {
    if target != STATE_PATH {
        return (503, Vec::new());
    }
    let sealed_snapshot =
        own_snapshot(front).map(|state| state.seal(front.settings.peer_key.as_ref()));
    match sealed_snapshot {
        Some(Ok(bytes)) => (200, bytes),
        Some(Err(error)) => {
            let error = error.to_string();
            log::warn!(event = "state-unsent", error = error.as_str(); "");
            (503, Vec::new())
        }
        None => (503, Vec::new()),
    }
}

/// Requests state snapshots from peers until the store or a peer has provided the state.
pub(crate) async fn bootstrap_from_peers(front: Rc<FrontContext>) {
    // Fronts that start together begin with different peers.
    let mut attempt = 2 * (stable_fraction(&front.settings.box_id) * 1e6) as usize;
    loop {
        let peer = pick_peer(&front, attempt);
        let now = front.now();
        let knows_ages = front.state().planner.knows_ages(now);
        let may_end = knows_ages || now > REPORT_TIMEOUT;
        if now > MIN_BOOTSTRAP_TIME && may_end && has_config_and_list(&front) {
            return;
        }
        let mut interval = match now > STARTUP_PERIOD {
            true => POLL_INTERVAL,
            false => STARTUP_POLL_INTERVAL,
        };
        if let Some(peer) = peer {
            let has_snapshot = fetch_peer_snapshot(&front, peer).await;
            if has_snapshot && front.state().has_list {
                if front.state().planner.knows_ages(front.now()) {
                    return;
                }
                interval = AGE_POLL_INTERVAL;
            }
        }
        attempt = attempt.wrapping_add(1);
        Timer::after(to_duration(interval)).await;
    }
}

/// Requests state snapshots from peers while others can read the platform store and this front
/// cannot. Their reported reads keep the keys known here valid only as long as the configuration
/// does not change; after a change, callers with keys are served with that of a peer. Endpoints that
/// leave meanwhile would get requests, and new ones none.
pub(crate) async fn refresh_from_peers(front: Rc<FrontContext>) {
    let mut attempt = 2 * (stable_fraction(&front.settings.box_id) * 1e6) as usize;
    loop {
        front.sleep_coalesced(REFRESH_INTERVAL).await;
        if !lags_behind_peers(&front) && !is_list_outdated(&front) {
            continue;
        }
        if let Some(peer) = pick_nearby_peer(&front, attempt) {
            fetch_peer_snapshot(&front, peer).await;
        }
        attempt = attempt.wrapping_add(1);
    }
}

/// Whether the keys known here are nearing their age limit although another front has read the
/// platform store since.
fn lags_behind_peers(front: &FrontContext) -> bool {
    let now = front.now();
    let state = front.state();
    let Some(age) = state.key_freshness.age(now) else {
        return false;
    };
    let operator = state.readers.table(ProvenTable::Operator);
    let reported_at = operator.and_then(TableProofs::newest_reported_at);
    let others_age = reported_at.map(|at| now.since(at));
    let limit = Micros(front.settings.key_limit.0 * REFRESH_PERCENT / 100);
    age > limit && others_age.is_some_and(|others| others + REFRESH_INTERVAL < age)
}

/// An agent in the same failure domain, or else any peer: traffic between domains costs more.
fn pick_nearby_peer(
    front: &FrontContext,
    attempt: usize,
) -> Option<SocketAddr> {
    let nearby: Vec<SocketAddr> = {
        let state = front.state();
        let config = state.config.as_ref()?;
        let is_nearby = |entry: &EndpointEntry| {
            entry.domain == front.settings.failure_domain
                && is_engine(config, entry)
                && entry.fresh_load(front.now()).is_some()
        };
        let entries = state.registry.iter().map(|(_, entry)| entry);
        let engines = entries.filter(|entry| is_nearby(entry));
        let port = front.settings.agent_port;
        engines
            .map(|entry| SocketAddr::new(entry.address.ip(), port))
            .collect()
    };
    let nth = nearby.get(attempt % nearby.len().max(1)).copied();
    nth.or_else(|| pick_peer(front, attempt))
}

/// The next peer to poll, alternating between seeds and engine agents: seeds that started together
/// with this front have no state yet.
fn pick_peer(
    front: &FrontContext,
    attempt: usize,
) -> Option<SocketAddr> {
    let (seeds, agents) = (seed_fronts(front), agent_addresses(front));
    let nth = |peers: &[SocketAddr]| peers.get(attempt / 2 % peers.len().max(1)).copied();
    match attempt % 2 {
        0 => nth(&seeds).or(nth(&agents)),
        _ => nth(&agents).or(nth(&seeds)),
    }
}

fn has_config_and_list(front: &FrontContext) -> bool {
    let state = front.state();
    state.config.is_some() && state.has_list
}

/// Fronts that may provide a state snapshot.
fn seed_fronts(front: &FrontContext) -> Vec<SocketAddr> {
    let settings = &front.settings;
    let is_own = |peer: &SocketAddr| *peer == settings.digests || Some(*peer) == settings.control;
    let seeds = settings.seeds.iter().copied();
    seeds.filter(|seed| !is_own(seed)).collect()
}

/// Engine agents that have sent digests or whose engines are listed.
fn agent_addresses(front: &FrontContext) -> Vec<SocketAddr> {
    let state = front.state();
    let known = state.known_agents.iter().copied();
    let engines = state.config.iter().flat_map(|config| {
        let entries = state.registry.iter().map(|(_, entry)| entry);
        entries.filter(|entry| is_engine(config, entry))
    });
    let port = front.settings.agent_port;
    let listed = engines.map(|entry| SocketAddr::new(entry.address.ip(), port));
    let agents: BTreeSet<SocketAddr> = known.chain(listed).collect();
    agents.into_iter().collect()
}

/// Requests the state snapshot of a peer. Returns whether a valid one was applied.
async fn fetch_peer_snapshot(
    front: &FrontContext,
    peer: SocketAddr,
) -> bool {
    let key = front.settings.peer_key.as_ref();
    let requested_at = front.now();
    let Some(response) = fetch_snapshot(peer, CALL_TIMEOUT, key).await else {
        return false;
    };
    let outcome = response
        .snapshot
        .map_err(|error| error.to_string())
        .and_then(|state| apply_snapshot(front, state, requested_at));
    let (outcome_name, error) = match &outcome {
        Ok(()) => ("taken", ""),
        Err(error) => ("refused", error.as_str()),
    };
    let address = peer.to_string();
    let config_age = front.state().key_freshness.age(front.now());
    log::info!(
        event = "peer-state",
        peer = address.as_str(),
        outcome = outcome_name,
        error = error,
        bytes = response.bytes,
        config_age_ms = config_age.map_or(-1, |age| age.as_millis() as i64);
        ""
    );
    front.metrics.increment("peer_states", outcome_name);
    outcome.is_ok()
}

/// Applies a state snapshot, except where it is older than the state here. Its ages count from the
/// request, since this process or the peer may have been paused in between. Uptimes of KV stores
/// are lower bounds, so they count from now.
fn apply_snapshot(
    front: &FrontContext,
    received: StateSnapshot,
    requested_at: Micros,
) -> Result<(), String> {
    let config = decode_config(&received.config).map_err(|error| error.to_string())?;
    if config.version != received.version {
        return Err(format!(
            "configuration {} in a snapshot of configuration {}",
            config.version, received.version
        ));
    }
    let known_version = front.state().config.as_ref().map_or(0, |c| c.version);
    if config.version < known_version {
        return Err(format!(
            "configuration {} is older than {known_version}",
            config.version
        ));
    }
    update_config(front, config, received.config, "peer");
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    if received.era.is_some_and(|era| state.eras.confirm(era, now)) {
        state.key_freshness.invalidate();
        log::warn!(event = "store-era", doubted = "reads before a peer reported the previous era"; "");
    }
    // A peer that has just started may only know a restored snapshot of the store, so it does not
    // renew freshness.
    if received.era.is_some() || state.key_freshness.proven_at().is_none() {
        state
            .key_freshness
            .record_report(received.age, requested_at);
    }
    for publication in &received.weights {
        state
            .planner
            .record_publication(publication, requested_at, now);
    }
    // Recorded after the publications known to the peer: with the uptime of a store this front may
    // save parts there, but not those of replaced weights.
    for uptime in &received.store_uptimes {
        state.kv_store_directory.record_uptime(uptime, now);
    }
    if let Some(rows) = &received.stream_software {
        state.stream_software.add_reported(rows);
    }
    for record in &received.rollouts {
        state.rollouts.add_reported(record);
    }
    let proven_at = requested_at.since(received.age);
    let outage = state.list_outages.record_report(proven_at, now);
    log_outage(front, outage, "peer");
    if state
        .key_freshness
        .proven_at()
        .is_none_or(|at| at < proven_at)
    {
        let domains = received.evacuated.iter();
        let changes: Vec<_> = domains
            .filter_map(|domain| state.evacuations.add_reported(domain))
            .collect();
        drop(guard);
        apply_evacuations(front, &changes, "peer");
        guard = front.state();
    }
    let state = &mut *guard;
    if state.has_list {
        drop(guard);
        let list_at = received.list_age.map(|age| requested_at.since(age));
        apply_peer_list(front, &received.endpoints, list_at);
        return Ok(());
    }
    let notices = received.endpoints.iter();
    let mut changes: Vec<_> = notices
        .filter_map(|notice| state.registry.apply(notice))
        .collect();
    changes.extend(state.registry.retire_superseded());
    let keys: Vec<EndpointKey> = state.registry.iter().map(|(key, _)| key).collect();
    for key in keys {
        // The snapshot does not show which endpoints have just started.
        begin_slow_start(state, key, None, now);
    }
    state.has_list = true;
    drop(guard);
    record_versions(front);
    handle_endpoint_changes(front, &changes);
    Ok(())
}
