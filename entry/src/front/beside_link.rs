use {
    super::{reader_number, state_mark, FrontContext, FrontState, StoreWatchers, FEW_FRONTS},
    pitchhitch_core::{
        serving::{greeting_interval, EndpointEntry, EndpointKey, ServingConfig},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::{DatagramSocket, DigestEcho, FrontGreeting, WantedWeights},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        rc::Rc,
    },
};

/// How often turns are planned anew, and greetings go out.
const PLAN_PAUSE: Micros = Micros::from_millis(100);
/// Processes beside engines that are told of suspects in one round.
const TOLD_TO: usize = 3;
/// Suspects in one greeting: some 100 bytes each.
const SUSPECTS_LIMIT: usize = 100;
/// Age up to which others are told what this front has read at the platform's store.
const PROOF_LIFE: Micros = Micros::from_millis(2_500);
/// For how long it holds which state this front can hand on, and who reads which store.
const PLAN_LIFE: Micros = Micros::from_millis(400);

/// What is the same in all greetings for a while.
#[derive(Debug, Default)]
struct GreetingFacts {
    known_at: Option<Micros>,
    handed: Option<(u64, Micros)>,
    watchers: StoreWatchers,
}

/// Tells the processes beside engines what they need to know, and that this
/// front wants their digests.
pub(crate) async fn greet_engines(
    front: Rc<FrontContext>,
    socket: DatagramSocket,
) {
    let mut facts = GreetingFacts::default();
    loop {
        let now = front.now();
        plan_turns(&front, now);
        refresh(&front, &mut facts, now);
        for (to, hello) in hellos(&front, &facts, now) {
            // A hello that is lost is followed by the next one.
            if let Err(error) = socket.send(&hello, to).await {
                let error = error.to_string();
                log::debug!(event = "hello-failed", error = error.as_str(); "");
            }
        }
        front.greeting_due.wait(to_duration(PLAN_PAUSE)).await;
    }
}

fn refresh(
    front: &FrontContext,
    facts: &mut GreetingFacts,
    now: Micros,
) {
    if facts.known_at.is_some_and(|at| now.since(at) < PLAN_LIFE) {
        return;
    }
    *facts = GreetingFacts {
        known_at: Some(now),
        handed: state_mark(front),
        watchers: StoreWatchers::assign(front),
    };
}

/// Plans whose turn it is to load new weights; those whose turn begins are told at once.
fn plan_turns(
    front: &FrontContext,
    now: Micros,
) {
    let mut guard = front.state();
    let state = &mut *guard;
    let begun = state
        .planner
        .plan(&state.book, front.settings.weights_limit, now);
    state.book.update_stages(&state.planner);
    for (key, turn) in &begun {
        log::info!(
            event = "swap-turn",
            endpoint = state.book.get(*key).map_or("", |entry| entry.id.as_str()),
            model = turn.model.as_str(),
            version = turn.version;
            ""
        );
        if let Some(entry) = state.book.get(*key) {
            let to = SocketAddr::new(entry.address.ip(), front.settings.beside_port);
            state.greetings.want(to);
        }
    }
}

fn hellos(
    front: &FrontContext,
    facts: &GreetingFacts,
    now: Micros,
) -> Vec<(SocketAddr, FrontGreeting)> {
    let mut guard = front.state();
    let state = &mut *guard;
    let present = greeted_engines(state);
    if present.is_empty() {
        return Vec::new();
    }
    let round = state.greetings.begin_round(now);
    let news = state.suspects.take_updates(SUSPECTS_LIMIT, now);
    let asks = state.wants_suspects;
    let own = reader_number(front);
    let proofs = state.readers.own_proofs(own, PROOF_LIFE, now);
    // What this front has just read is told on at once: others go by its age.
    let has_read = state.readers.take_news() && state.fronts > FEW_FRONTS && !proofs.is_empty();
    let told: BTreeSet<usize> = match asks || has_read || !news.is_empty() {
        true => told_places(present.len(), round as usize).collect(),
        false => BTreeSet::new(),
    };
    let count = present.len();
    let mut hellos = Vec::new();
    for (place, (address, key)) in present.iter().enumerate() {
        let to = SocketAddr::new(address.ip(), front.settings.beside_port);
        let is_told = told.contains(&place);
        let is_urgent = needs_soon(state, *key);
        if !is_told && !state.greetings.is_due(to, count, is_urgent, now) {
            continue;
        }
        state.greetings.note(to, now);
        let Some(entry) = state.book.get(*key) else {
            continue;
        };
        let mut hello = make_hello(front, state, *key, entry, facts.handed);
        hello.number = round;
        hello.again_within = greeting_interval(count);
        hello.proofs.clone_from(&proofs);
        hello.watches = facts.watchers.of(*address);
        if is_told {
            hello.suspects.clone_from(&news);
            hello.wants_suspects = asks;
        }
        hellos.push((to, hello));
    }
    let addresses: BTreeSet<IpAddr> = present.keys().map(SocketAddr::ip).collect();
    state.greetings.prune(|to| addresses.contains(&to.ip()));
    hellos
}

/// Engines whose processes are greeted, by address: also those that leave, as such a process
/// would tell others that they are there.
fn greeted_engines(state: &FrontState) -> BTreeMap<SocketAddr, EndpointKey> {
    let Some(config) = &state.config else {
        return BTreeMap::new();
    };
    let mut engines = state.book.present(|entry| is_engine(config, entry));
    for (key, entry) in state.book.iter().filter(|(_, e)| is_engine(config, e)) {
        engines.entry(entry.address).or_insert(key);
    }
    engines
}

/// Whether the process beside an engine must hear of this front soon: it is the engine's turn
/// to load, or what it keeps is not known.
fn needs_soon(
    state: &FrontState,
    key: EndpointKey,
) -> bool {
    let has_turn = state.planner.turn(key).is_some_and(|turn| turn.is_loading);
    let entry = state.book.get(key);
    has_turn || entry.is_some_and(|entry| !entry.is_mirrored && entry.is_listed())
}

/// Which of so many processes are told of suspects, to tell all fronts: few, as each tells
/// all, far from each other in the order of addresses, and others in each round.
fn told_places(
    count: usize,
    round: usize,
) -> impl Iterator<Item = usize> {
    let step = (count / TOLD_TO).max(1);
    (0..TOLD_TO.min(count)).map(move |turn| (round + turn * step) % count)
}

/// Whether an endpoint is an engine: entries of services that nobody knows are none.
pub(super) fn is_engine(
    config: &ServingConfig,
    entry: &EndpointEntry,
) -> bool {
    let group = config.services.get(&entry.service);
    group.is_some_and(|group| group.engine.is_some())
}

/// Requests a second that an engine may get from all fronts while it starts slowly.
fn start_limit(
    front: &FrontContext,
    state: &FrontState,
    entry: &EndpointEntry,
) -> u32 {
    let config = state.config.as_ref();
    let rule = config.and_then(|config| config.slow_start(&entry.service));
    rule.map_or(0, |rule| front.settings.slow_start.limit(&rule))
}

fn make_hello(
    front: &FrontContext,
    state: &FrontState,
    key: EndpointKey,
    entry: &EndpointEntry,
    handed: Option<(u64, Micros)>,
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
        // What a digest tells may be of another id at the address.
        engine_born: entry.incarnation.listed_born,
        engine_row: entry.incarnation.row,
        state: handed,
        echo: entry.incarnation.digest.map(|digest| DigestEcho {
            incarnation: digest.incarnation,
            number: digest.number,
        }),
        is_leaving,
        suspects: Vec::new(),
        wants_suspects: false,
        wanted: wanted.collect(),
        // Parts of one that is away are not kept, so they are asked for when it is back.
        wants_all: !entry.is_mirrored && entry.is_listed(),
        proofs: Vec::new(),
        watches: Vec::new(),
        start_limit: start_limit(front, state, entry),
    }
}
