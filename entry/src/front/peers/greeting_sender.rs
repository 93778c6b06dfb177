use {
    crate::front::{
        own_snapshot_hash, reader_id, select_rate_receivers, FrontContext, FrontState,
        RelayAssignment, WatcherAssignment, MAX_DIRECT_READERS,
    },
    pitchhitch_core::{
        serving::{greeting_interval, EndpointEntry, EndpointKey, ServingConfig},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::{
        AgentDatagram, DatagramSocket, DigestEcho, FrontGreeting, WantedWeights,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        rc::Rc,
    },
};

/// Interval at which turns to load weights are planned and due greetings are sent.
const ROUND_INTERVAL: Micros = Micros::from_millis(100);
/// Number of engine agents that are greeted in a round, due or not, to forward suspects or new
/// reads of the platform store.
const RECEIVERS_PER_ROUND: usize = 3;
/// Maximum number of suspects in one greeting, at some 100 bytes each.
const MAX_SUSPECTS: usize = 100;
/// Maximum age of this front's own reads of the platform store that are still reported.
const MAX_PROOF_AGE: Micros = Micros::from_millis(2_500);
/// Time for which the hash of this front's state and the assignment of KV stores are reused.
const CACHE_TTL: Micros = Micros::from_millis(400);

/// Content of greetings that is reused for [`CACHE_TTL`].
#[derive(Debug, Default)]
struct GreetingCache {
    computed_at: Option<Micros>,
    offered_snapshot: Option<(u64, Micros)>,
    watchers: WatcherAssignment,
    relays: RelayAssignment,
}

/// Sends greetings to the engine agents. A greeting notifies an agent of state that it needs and
/// subscribes this front to its digests.
pub(crate) async fn send_greetings(
    front: Rc<FrontContext>,
    socket: DatagramSocket,
) {
    let mut cache = GreetingCache::default();
    loop {
        let now = front.now();
        plan_swap_turns(&front, now);
        refresh_cache(&front, &mut cache, now);
        for (to, greeting) in make_greetings(&front, &cache, now) {
            // A lost greeting is replaced by the next one.
            let datagram = AgentDatagram::Greeting(Box::new(greeting));
            if let Err(error) = socket.send(&datagram, to).await {
                let error = error.to_string();
                log::debug!(event = "hello-failed", error = error.as_str(); "");
            }
        }
        front.greeting_due.wait(to_duration(ROUND_INTERVAL)).await;
    }
}

fn refresh_cache(
    front: &FrontContext,
    cache: &mut GreetingCache,
    now: Micros,
) {
    if cache
        .computed_at
        .is_some_and(|at| now.since(at) < CACHE_TTL)
    {
        return;
    }
    *cache = GreetingCache {
        computed_at: Some(now),
        offered_snapshot: own_snapshot_hash(front),
        watchers: WatcherAssignment::assign(front),
        relays: RelayAssignment::assign(front),
    };
}

/// Plans which engines load new weights next. Agents of engines whose turn begins are greeted
/// immediately.
fn plan_swap_turns(
    front: &FrontContext,
    now: Micros,
) {
    let mut guard = front.state();
    let state = &mut *guard;
    let started_turns = state
        .planner
        .plan(&state.registry, front.settings.weights_limit, now);
    state.registry.update_stages(&state.planner);
    for (key, turn) in &started_turns {
        log::info!(
            event = "swap-turn",
            endpoint = state.registry.get(*key).map_or("", |entry| entry.id.as_str()),
            model = turn.model.as_str(),
            version = turn.version;
            ""
        );
        if let Some(entry) = state.registry.get(*key) {
            let to = SocketAddr::new(entry.address.ip(), front.settings.agent_port);
            state.greetings.request(to);
        }
    }
}

fn make_greetings(
    front: &FrontContext,
    cache: &GreetingCache,
    now: Micros,
) -> Vec<(SocketAddr, FrontGreeting)> {
    let mut guard = front.state();
    let state = &mut *guard;
    let engines = greeted_engines(state);
    if engines.is_empty() {
        return Vec::new();
    }
    let round = state.greetings.begin_round(now);
    let updates = state.suspects.take_updates(MAX_SUSPECTS, now);
    let wants_suspects = state.wants_suspects;
    let own_id = reader_id(front);
    let proofs = state.readers.own_proofs(own_id, MAX_PROOF_AGE, now);
    // New reads are reported immediately, since other fronts rely on their age.
    let has_new_reads = state.readers.take_has_new_reads()
        && state.fronts > MAX_DIRECT_READERS
        && !proofs.is_empty();
    let receivers: BTreeSet<usize> = match wants_suspects || has_new_reads || !updates.is_empty() {
        true => receiver_indexes(engines.len(), round as usize).collect(),
        false => BTreeSet::new(),
    };
    let rates = state.admission.own_rates(now);
    let rate_receivers = select_rate_receivers(state, &engines, &rates, now);
    let count = engines.len();
    let mut greetings = Vec::new();
    for (index, (address, key)) in engines.iter().enumerate() {
        let to = SocketAddr::new(address.ip(), front.settings.agent_port);
        let is_receiver = receivers.contains(&index);
        let is_urgent = needs_urgent_greeting(state, *key);
        if !is_receiver && !state.greetings.is_due(to, count, is_urgent, now) {
            continue;
        }
        state.greetings.record_sent(to, now);
        let Some(entry) = state.registry.get(*key) else {
            continue;
        };
        let mut greeting = make_greeting(front, state, *key, entry, cache.offered_snapshot);
        greeting.number = round;
        greeting.again_within = greeting_interval(count);
        greeting.proofs.clone_from(&proofs);
        greeting.watches = cache.watchers.stores_for(*address);
        greeting.wanted_contents = cache.watchers.contents_for(*address, state, round);
        greeting.relays = cache.relays.relays_for(*address);
        if rate_receivers.contains(address) {
            greeting.rates.clone_from(&rates);
        }
        if is_receiver {
            greeting.suspects.clone_from(&updates);
            greeting.wants_suspects = wants_suspects;
        }
        greetings.push((to, greeting));
    }
    let addresses: BTreeSet<IpAddr> = engines.keys().map(SocketAddr::ip).collect();
    state.greetings.prune(|to| addresses.contains(&to.ip()));
    greetings
}

/// Engines whose agents are greeted, by address. Engines that are leaving are included: their
/// agents would otherwise keep announcing them to other fronts.
fn greeted_engines(state: &FrontState) -> BTreeMap<SocketAddr, EndpointKey> {
    let Some(config) = &state.config else {
        return BTreeMap::new();
    };
    let mut engines = state.registry.present(|entry| is_engine(config, entry));
    for (key, entry) in state.registry.iter().filter(|(_, e)| is_engine(config, e)) {
        engines.entry(entry.address).or_insert(key);
    }
    engines
}

/// Whether an agent must receive a greeting soon: it is its engine's turn to load, or the engine's
/// cached parts are unknown here.
fn needs_urgent_greeting(
    state: &FrontState,
    key: EndpointKey,
) -> bool {
    let has_turn = state.planner.turn(key).is_some_and(|turn| turn.is_loading);
    let entry = state.registry.get(key);
    has_turn || entry.is_some_and(|entry| !entry.is_mirrored && entry.is_listed())
}

/// Indexes of the agents that forward suspects or new reads in a round. Each forwards them to all
/// fronts, so a few are enough; they are spread over the order of addresses and differ from round
/// to round.
fn receiver_indexes(
    count: usize,
    round: usize,
) -> impl Iterator<Item = usize> {
    let step = (count / RECEIVERS_PER_ROUND).max(1);
    (0..RECEIVERS_PER_ROUND.min(count)).map(move |receiver| (round + receiver * step) % count)
}

/// Whether an endpoint is an engine. Endpoints of unknown services are not.
pub(crate) fn is_engine(
    config: &ServingConfig,
    entry: &EndpointEntry,
) -> bool {
    let service = config.services.get(&entry.service);
    service.is_some_and(|service| service.engine.is_some())
}

/// Requests per second that an engine may receive from all fronts during its slow start.
fn slow_start_limit(
    front: &FrontContext,
    state: &FrontState,
    entry: &EndpointEntry,
) -> u32 {
    let config = state.config.as_ref();
    let rule = config.and_then(|config| config.slow_start(&entry.service));
    rule.map_or(0, |rule| front.settings.slow_start.limit(&rule))
}

fn make_greeting(
    front: &FrontContext,
    state: &FrontState,
    key: EndpointKey,
    entry: &EndpointEntry,
    offered_snapshot: Option<(u64, Micros)>,
) -> FrontGreeting {
    let turn = state.planner.turn(key);
    let is_leaving = !entry.may_be_present();
    let wanted = state
        .planner
        .published_versions()
        .filter(|_| !is_leaving)
        .map(|(model, version)| WantedWeights {
            model: model.to_string(),
            version,
            is_turn: turn.is_some_and(|t| t.is_loading && t.model == model && t.version == version),
        });
    FrontGreeting {
        front: front.settings.box_id.clone(),
        number: 0,
        again_within: Micros::ZERO,
        domain: front.settings.failure_domain.clone(),
        engine_id: Some(entry.id.clone()),
        // A digest may come from another engine at the same address, so its incarnation is not
        // used.
        engine_born: entry.incarnation.listed_born,
        engine_row: entry.incarnation.row,
        state: offered_snapshot,
        echo: entry.incarnation.digest.map(|digest| DigestEcho {
            incarnation: digest.incarnation,
            number: digest.number,
        }),
        is_leaving,
        suspects: Vec::new(),
        wants_suspects: false,
        wanted: wanted.collect(),
        // Cached parts of an endpoint that is away are not stored here; they are requested when it
        // returns.
        wants_all: !entry.is_mirrored && entry.is_listed(),
        proofs: Vec::new(),
        watches: Vec::new(),
        wanted_contents: Vec::new(),
        relays: Vec::new(),
        rates: Vec::new(),
        start_limit: slow_start_limit(front, state, entry),
    }
}
