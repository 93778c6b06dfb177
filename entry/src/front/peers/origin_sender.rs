use {
    crate::front::{is_engine, update_software, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{EndpointStatus, KeeperSet, SoftwareTag, StreamId, StreamOrigin},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::{AgentDatagram, DatagramSocket, OriginAnswer},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Interval at which the agents and the software of the engines are listed anew.
const REFRESH_INTERVAL: Micros = Micros::from_millis(100);
/// Maximum number of origins in one datagram, at some 20 bytes each.
const MAX_ORIGINS_PER_DATAGRAM: usize = 50;
/// Agents that are asked for the origin of one stream, besides those that would keep it now.
const MAX_ASKED_AGENTS: usize = 8;
/// Time for which the agent of an engine that has left is still asked.
const LEAVE_TIME: Micros = Micros::from_secs(5);

/// Reports to agents where streams began while engines have different software, and asks them where
/// the streams of other fronts began.
pub(crate) async fn send_origins(
    front: Rc<FrontContext>,
    socket: DatagramSocket,
) {
    let mut refreshed_at = None;
    loop {
        let now = front.now();
        if refreshed_at.is_none_or(|at| now.since(at) >= REFRESH_INTERVAL) {
            refreshed_at = Some(now);
            refresh_keepers(&front);
        }
        for (to, datagram) in due_datagrams(&front) {
            // Each origin is kept by several agents, and each is asked.
            if let Err(error) = socket.send(&datagram, to).await {
                let error = error.to_string();
                log::debug!(event = "origin-unsent", error = error.as_str(); "");
            }
        }
        front.origin_due.wait(to_duration(REFRESH_INTERVAL)).await;
    }
}

/// Records the software that began a stream of this front.
pub(crate) fn record_origin(
    front: &FrontContext,
    origin: StreamOrigin,
) {
    let mut state = front.state();
    state.origins.record_own(origin, front.now());
    if state.has_mixed_software {
        front.origin_due.wake();
    }
}

/// Applies an agent's answer about a stream.
pub(super) fn apply_origin(
    front: &FrontContext,
    answer: OriginAnswer,
    from: SocketAddr,
) {
    let OriginAnswer { stream, software } = answer;
    let mut state = front.state();
    match software {
        Some(software) => state
            .origins
            .record(StreamOrigin { stream, software }, front.now()),
        None => state.origin_lookups.record_unknown(stream, from),
    }
}

/// Lists the agents that keep origins, and whether engines of one service have different software.
/// Streams whose agents change are reported again.
fn refresh_keepers(front: &FrontContext) {
    let mut guard = front.state();
    let state = &mut *guard;
    update_software(front, state);
    let Some(config) = &state.config else {
        return;
    };
    let now = front.now();
    let (mut agents, mut leaving) = (Vec::new(), Vec::new());
    let mut silent = BTreeSet::new();
    let mut software: BTreeMap<&str, &str> = BTreeMap::new();
    let mut is_mixed = false;
    let entries = state.registry.iter().map(|(_, entry)| entry);
    for entry in entries.filter(|entry| is_engine(config, entry)) {
        let agent = SocketAddr::new(entry.address.ip(), front.settings.agent_port);
        if entry.fresh_load(now).is_none() {
            silent.insert(agent);
        }
        match entry.status {
            EndpointStatus::Serving => agents.push(agent),
            _ if entry.left_at.is_none_or(|at| now.since(at) < LEAVE_TIME) => leaving.push(agent),
            _ => {}
        }
        let known = software.entry(&entry.service).or_insert(&entry.software);
        is_mixed |= entry.known_software() != Some(*known);
    }
    is_mixed |= state.stream_software.is_mixed();
    if is_mixed != state.has_mixed_software {
        log::info!(event = "software-mixed", mixed = is_mixed, agents = agents.len(); "");
        state.has_mixed_software = is_mixed;
    }
    let sources = agents.iter().chain(&leaving).copied();
    state.origin_sources = KeeperSet::new(sources);
    let keepers = KeeperSet::new(agents.iter().copied());
    if keepers != state.origin_keepers || state.save_claims.silent_agents() != &silent {
        log::info!(event = "claim-keepers", agents = agents.len(), silent = silent.len(); "");
        state.save_claims.set_silent(silent, &keepers, now);
    }
    if keepers != state.origin_keepers {
        let previous = std::mem::replace(&mut state.origin_keepers, keepers);
        let keepers = &state.origin_keepers;
        let is_changed = |stream| keepers.keepers(stream) != previous.keepers(stream);
        state.origins.report_again(is_changed);
        let keepers = &state.origin_keepers;
        state.save_claims.reassign(keepers, &previous, now);
    }
}

fn due_datagrams(front: &FrontContext) -> Vec<(SocketAddr, AgentDatagram)> {
    let mut guard = front.state();
    let state = &mut *guard;
    let questions = state.origin_lookups.take_unsent().into_iter();
    let mut datagrams: Vec<(SocketAddr, AgentDatagram)> = questions
        .map(|(stream, keeper)| (keeper, AgentDatagram::OriginQuery(stream)))
        .collect();
    if !state.has_mixed_software {
        return datagrams;
    }
    let mut reports: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
    for origin in state.origins.take_unreported() {
        front.metrics.increment("origins", "reported");
        for keeper in state.origin_keepers.keepers(origin.stream) {
            reports.entry(keeper).or_default().push(origin);
        }
    }
    for (keeper, origins) in reports {
        let pieces = origins.chunks(MAX_ORIGINS_PER_DATAGRAM);
        datagrams.extend(pieces.map(|piece| (keeper, AgentDatagram::Origins(piece.to_vec()))));
    }
    datagrams
}

/// Software of the engines of these services, if all are known to have had the same in the last
/// minute.
pub(crate) fn common_software(
    state: &FrontState,
    services: &[&str],
) -> Option<SoftwareTag> {
    let entries = state.registry.iter().map(|(_, entry)| entry);
    let entries = entries.filter(|entry| services.contains(&entry.service.as_str()));
    let mut tags: BTreeSet<Option<SoftwareTag>> = entries.map(SoftwareTag::known).collect();
    tags.extend(state.stream_software.seen_software(services).map(Some));
    let is_common = tags.len() == 1;
    tags.into_iter().next().flatten().filter(|_| is_common)
}

/// Listed endpoints of these services by service and software, including those that have left a
/// moment ago.
pub(crate) fn software_counts(
    state: &FrontState,
    services: &[&str],
) -> BTreeMap<(String, String), u32> {
    let mut counts = BTreeMap::new();
    for (_, entry) in state.registry.iter() {
        if services.contains(&entry.service.as_str()) {
            let key = (entry.service.clone(), entry.software.clone());
            *counts.entry(key).or_default() += 1;
        }
    }
    counts
}

/// Begins to look up where a stream began.
pub(crate) fn begin_lookup(
    front: &FrontContext,
    stream: StreamId,
) {
    let mut guard = front.state();
    let state = &mut *guard;
    let mut asked = state.origin_keepers.keepers(stream);
    // The stream's agents may have been others before engines were replaced.
    let sources = state.origin_sources.nearest(stream, MAX_ASKED_AGENTS);
    for agent in sources {
        if !asked.contains(&agent) {
            asked.push(agent);
        }
    }
    state.origin_lookups.begin(stream, asked);
    front.origin_due.wake();
}
