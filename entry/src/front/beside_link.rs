use {
    super::{state_mark, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{EndpointEntry, EndpointKey, ServingConfig},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::beside::{BesideSocket, DigestEcho, FrontHello, WantedWeights},
    std::{net::SocketAddr, rc::Rc},
};

/// How often turns are planned anew.
const PLAN_PAUSE: Micros = Micros::from_millis(100);
/// Time between two hellos to an engine; a turn is told at once.
const HELLO_PAUSE: Micros = Micros::from_millis(400);

/// Processes beside engines that are told of suspects in one round.
const TOLD_TO: usize = 3;
/// Suspects in one greeting: some 100 bytes each.
const SUSPECTS_LIMIT: usize = 100;

/// Tells the processes beside engines what they need to know, and that this
/// front wants their digests.
pub(crate) async fn greet_engines(
    front: Rc<FrontContext>,
    socket: BesideSocket,
) {
    let mut greeted_at: Option<Micros> = None;
    let mut is_woken = false;
    let mut round = 0;
    loop {
        let now = front.now();
        let has_news = plan_turns(&front, now);
        // A front that has just started asks in each round until it is told of suspects.
        let is_due = greeted_at.is_none_or(|at| now.since(at) >= HELLO_PAUSE)
            || front.state().awaits_suspects(now);
        if has_news || is_woken || is_due {
            round += 1;
            let hellos = hellos(&front, round);
            // A front that has just started is told of suspects only once it has greeted.
            greeted_at = (!hellos.is_empty()).then_some(now);
            for (to, hello) in hellos {
                // A hello that is lost is followed by the next one.
                if let Err(error) = socket.send(&hello, to).await {
                    let error = error.to_string();
                    log::debug!(event = "hello-failed", error = error.as_str(); "");
                }
            }
        }
        is_woken = front.greeting_due.wait(to_duration(PLAN_PAUSE)).await;
    }
}

/// Plans whose turn it is to load new weights; true where a turn begins.
fn plan_turns(
    front: &FrontContext,
    now: Micros,
) -> bool {
    let mut guard = front.state();
    let state = &mut *guard;
    let begun = state
        .planner
        .plan(&state.book, front.settings.weights_limit, now);
    state.book.mark_swaps(&state.planner);
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

fn hellos(
    front: &FrontContext,
    round: usize,
) -> Vec<(SocketAddr, FrontHello)> {
    let handed = state_mark(front);
    let mut guard = front.state();
    let news = guard.suspects.take_news(SUSPECTS_LIMIT, front.now());
    let state = &*guard;
    let Some(config) = &state.config else {
        return Vec::new();
    };
    let mut present = state.book.present(|entry| is_engine(config, entry));
    // The process beside an engine that leaves would tell others that it is there.
    for (key, entry) in state.book.iter().filter(|(_, e)| is_engine(config, e)) {
        present.entry(entry.address).or_insert(key);
    }
    let hello = |(address, key): (&SocketAddr, &EndpointKey)| {
        let entry = state.book.get(*key)?;
        let to = SocketAddr::new(address.ip(), front.settings.beside_port);
        Some((to, make_hello(front, state, *key, entry, handed)))
    };
    let mut hellos: Vec<_> = present.iter().filter_map(hello).collect();
    for place in told_places(hellos.len(), round) {
        hellos[place].1.suspects.clone_from(&news);
        hellos[place].1.wants_suspects = state.wants_suspects;
    }
    hellos
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
    let group = config.groups.get(&entry.service);
    group.is_some_and(|group| group.engine.is_some())
}

fn make_hello(
    front: &FrontContext,
    state: &FrontState,
    key: EndpointKey,
    entry: &EndpointEntry,
    handed: Option<(u64, Micros)>,
) -> FrontHello {
    let turn = state.planner.turn(key);
    let is_leaving = !entry.may_be_there();
    let wanted = state
        .planner
        .all_named()
        .filter(|_| !is_leaving)
        .map(|(model, version)| WantedWeights {
            model: model.to_string(),
            version,
            is_turn: turn.is_some_and(|t| t.loads && t.model == model && t.version == version),
        });
    FrontHello {
        front: front.settings.box_id.clone(),
        domain: front.settings.failure_domain.clone(),
        engine_id: Some(entry.id.clone()),
        // What a digest tells may be of another id at the address.
        engine_born: entry.life.listed,
        engine_row: entry.life.row,
        state: handed,
        echo: entry.life.digest.map(|digest| DigestEcho {
            life: digest.life,
            number: digest.number,
        }),
        is_leaving,
        suspects: Vec::new(),
        wants_suspects: false,
        wanted: wanted.collect(),
        // Parts of one that is away are not kept, so they are asked for when it is back.
        wants_all: !entry.is_mirrored && entry.is_listed(),
    }
}
