use {
    super::{own_state, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{EndpointEntry, EndpointKey, EndpointStanding},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::beside::{BesideSocket, EngineDigest, FrontHello, WantedWeights},
    smol::Timer,
    std::{net::SocketAddr, rc::Rc},
};

/// How often turns are planned anew.
const PLAN_PAUSE: Micros = Micros::from_millis(100);
/// Processes beside engines that are remembered.
const BESIDES_LIMIT: usize = 64;
/// Time between two hellos to an engine; a turn is told at once.
const HELLO_PAUSE: Micros = Micros::from_millis(400);

/// Tells the processes beside engines what they need to know, and that this
/// front wants their digests.
pub(crate) async fn greet_engines(
    front: Rc<FrontContext>,
    socket: BesideSocket,
) {
    let mut greeted_at: Option<Micros> = None;
    loop {
        let now = front.now();
        let has_news = plan_turns(&front, now);
        let is_due = greeted_at.is_none_or(|at| now.since(at) >= HELLO_PAUSE);
        if has_news || is_due {
            greeted_at = Some(now);
            for (to, hello) in hellos(&front) {
                // A hello that is lost is followed by the next one.
                if let Err(error) = socket.send(&hello, to).await {
                    let error = error.to_string();
                    log::debug!(event = "hello-failed", error = error.as_str(); "");
                }
            }
        }
        Timer::after(to_duration(PLAN_PAUSE)).await;
    }
}

/// Plans whose turn it is to load new weights; true where a turn begins.
fn plan_turns(
    front: &FrontContext,
    now: Micros,
) -> bool {
    let mut guard = front.state();
    let state = &mut *guard;
    let begun = state.planner.plan(&state.book, now);
    state
        .book
        .mark_swaps(&state.planner, front.settings.weights_limit, now);
    for (key, turn) in &begun {
        log::info!(
            event = "swap-turn",
            endpoint = state.book.get(*key).map_or("", |entry| entry.id.as_str()),
            model = turn.model.as_str(),
            version = turn.version;
            ""
        );
    }
    !begun.is_empty()
}

fn hellos(front: &FrontContext) -> Vec<(SocketAddr, FrontHello)> {
    let handed = own_state(front).map(|state| (state.mark(), state.age));
    let state = front.state();
    let Some(config) = &state.config else {
        return Vec::new();
    };
    let is_engine = |entry: &EndpointEntry| {
        let group = config.groups.get(&entry.service);
        let serves = entry.standing != EndpointStanding::Leaving;
        serves && group.is_some_and(|group| group.engine.is_some())
    };
    let engines = state.book.iter().filter(|(_, entry)| is_engine(entry));
    let hello = |(key, entry): (EndpointKey, &EndpointEntry)| {
        let to = SocketAddr::new(entry.address.ip(), front.settings.beside_port);
        (to, make_hello(front, &state, key, entry, handed))
    };
    engines.map(hello).collect()
}

fn make_hello(
    front: &FrontContext,
    state: &FrontState,
    key: EndpointKey,
    entry: &EndpointEntry,
    handed: Option<(u64, Micros)>,
) -> FrontHello {
    let turn = state.planner.turn(key);
    let wanted = state
        .planner
        .all_named()
        .map(|(model, version)| WantedWeights {
            model: model.to_string(),
            version,
            is_turn: turn.is_some_and(|t| t.loads && t.model == model && t.version == version),
        });
    FrontHello {
        front: front.settings.box_id.clone(),
        domain: front.settings.failure_domain.clone(),
        engine_id: Some(entry.id.clone()),
        state: handed,
        wanted: wanted.collect(),
        wants_all: !entry.is_mirrored,
    }
}

/// Takes what the processes beside engines tell.
pub(crate) async fn hear_digests(
    front: Rc<FrontContext>,
    socket: BesideSocket,
) {
    loop {
        match socket.receive::<EngineDigest>().await {
            Ok((digest, from)) => {
                note_beside(&front, from);
                take_digest(&front, digest);
            }
            Err(error) => {
                let error = error.to_string();
                log::warn!(event = "digest-failed", error = error.as_str(); "");
                Timer::after(to_duration(PLAN_PAUSE)).await;
            }
        }
    }
}

/// Remembers who was heard, as long as state may have to be asked for.
fn note_beside(
    front: &FrontContext,
    from: SocketAddr,
) {
    let mut state = front.state();
    if state.besides.len() < BESIDES_LIMIT {
        state.besides.insert(from);
    }
}

fn take_digest(
    front: &FrontContext,
    digest: EngineDigest,
) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    state.fronts = digest.fronts.max(1);
    state.reads.heard(digest.engine, digest.clock_ms, now);
    let Some(key) = state.book.key_at(digest.engine) else {
        return;
    };
    let Some(entry) = state.book.get_mut(key) else {
        return;
    };
    let was_silent = entry.load.is_some_and(|load| load.is_silent);
    let mut load = digest.load;
    load.at = now;
    entry.load = Some(load);
    if load.is_silent != was_silent {
        log::info!(
            event = "engine-silent",
            endpoint = entry.id.as_str(),
            silent = load.is_silent,
            digest = digest.number;
            ""
        );
    }
    let proven_at = state.trust.proven_at();
    for (model, version) in &digest.weights {
        if state.planner.engine_has(model, *version, proven_at, now) {
            log::warn!(
                event = "weights-named",
                model = model.as_str(),
                version = *version,
                source = "engine",
                endpoint = entry.id.as_str();
                ""
            );
        }
        if entry.weights.learn(model, *version) {
            // New weights drop what the engine kept.
            entry.parts.clear();
            log::info!(
                event = "weights-seen",
                endpoint = entry.id.as_str(),
                model = model.as_str(),
                version = *version,
                source = "digest";
                ""
            );
        }
    }
    if digest.forgets {
        entry.parts.clear();
    }
    entry.is_mirrored |= digest.is_whole;
    for part in &digest.parts {
        entry.parts.set(part.wall, part.id, part.tokens);
    }
}
