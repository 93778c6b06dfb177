use {
    super::{
        begin_slow_start, is_engine, log_changes, take_config, take_evacuations, FrontContext,
        TableProofs,
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

/// Time limit of a question: peers are a millisecond or two away, and one that is
/// frozen must not hold up the next.
const ASK_LIMIT: Duration = Duration::from_millis(250);
/// Pause between two questions.
const ASK_PAUSE: Micros = Micros::from_millis(100);
/// Time from the start for which peers are asked in any case: the store's row may
/// have gone back, or may show an older configuration for a moment.
const FIRST_QUESTIONS: Micros = Micros::from_millis(1_500);
/// The same just after the start: others may know that the store's row has gone back.
const FIRST_PAUSE: Micros = Micros::from_millis(30);
const JUST_STARTED: Micros = Micros::from_millis(250);
/// Pause between two questions where only the age of namings is still to be told.
const AGE_PAUSE: Micros = Micros::from_millis(400);

/// Time between two questions while the store tells others and not this front.
const REFRESH_PAUSE: Micros = Micros::from_millis(500);
/// Part of the age up to which keys count from which on it asks, in hundredths: it stays ready.
const REFRESH_PART: u64 = 35;

/// Number and age of what this front can hand on, for greetings; nothing until it
/// knows all of it.
///
/// The number is worked out for each round: one that is kept would have to be given up
/// with the configuration, with each naming, and with whatever of an entry is handed on
/// (its standing, whether it may come back, its life), and entries are changed in many
/// places.
pub(super) fn state_mark(front: &FrontContext) -> Option<(u64, Micros)> {
    let state = textless_state(front)?;
    Some((state.content_hash(), state.age))
}

/// What this front can hand on but for the text of the configuration.
fn textless_state(front: &FrontContext) -> Option<StateSnapshot> {
    let state = front.state();
    let config = state.config.as_ref().filter(|_| state.has_list)?;
    let now = front.now();
    Some(StateSnapshot {
        config: Vec::new(),
        version: config.version,
        age: state.trust.age(now)?,
        era: state.proven_era,
        weights: state.planner.recent_publications(now),
        endpoints: state.book.notices(),
        evacuated: state.evacuations.domains().map(str::to_string).collect(),
        store_uptimes: state.memory.store_uptimes(now),
    })
}

/// What this front can hand on.
fn own_state(front: &FrontContext) -> Option<StateSnapshot> {
    let state = textless_state(front)?;
    Some(StateSnapshot {
        config: front.state().config_text.clone(),
        ..state
    })
}

/// Answers a process that asks for the state.
pub(super) fn hand_state_on(
    front: &FrontContext,
    target: &str,
) -> (u16, Vec<u8>) {
    if target != STATE_PATH {
        return (503, Vec::new());
    }
    let sealed = own_state(front).map(|state| state.seal(front.settings.peer_key.as_ref()));
    match sealed {
        Some(Ok(bytes)) => (200, bytes),
        Some(Err(error)) => {
            let error = error.to_string();
            log::warn!(event = "state-unsent", error = error.as_str(); "");
            (503, Vec::new())
        }
        None => (503, Vec::new()),
    }
}

/// Asks peers for what they know, until the store or one of them has told it.
pub(super) async fn ask_peers(front: Rc<FrontContext>) {
    // Fronts that start together do not all ask the same one first.
    let mut turn = 2 * (stable_fraction(&front.settings.box_id) * 1e6) as usize;
    loop {
        let peer = next_peer(&front, turn);
        let now = front.now();
        let knows_ages = front.state().planner.knows_ages(now);
        let may_end = knows_ages || now > REPORT_TIMEOUT;
        if now > FIRST_QUESTIONS && may_end && knows_all(&front) {
            return;
        }
        let mut pause = match now > JUST_STARTED {
            true => ASK_PAUSE,
            false => FIRST_PAUSE,
        };
        if let Some(peer) = peer {
            let is_told = ask_peer(&front, peer).await;
            if is_told && front.state().has_list {
                if front.state().planner.knows_ages(front.now()) {
                    return;
                }
                pause = AGE_PAUSE;
            }
        }
        turn = turn.wrapping_add(1);
        Timer::after(to_duration(pause)).await;
    }
}

/// Asks peers for their state while others can read the platform's store and this front cannot:
/// callers with keys are served on although the configuration has changed meanwhile.
pub(super) async fn stay_told(front: Rc<FrontContext>) {
    let mut turn = 2 * (stable_fraction(&front.settings.box_id) * 1e6) as usize;
    loop {
        front.rest(REFRESH_PAUSE).await;
        if !is_left_behind(&front) {
            continue;
        }
        if let Some(peer) = near_peer(&front, turn) {
            ask_peer(&front, peer).await;
        }
        turn = turn.wrapping_add(1);
    }
}

/// Whether what is known of keys grows old here while somebody has read the platform's store since.
fn is_left_behind(front: &FrontContext) -> bool {
    let now = front.now();
    let state = front.state();
    let Some(age) = state.trust.age(now) else {
        return false;
    };
    let operator = state.readers.table(ProvenTable::Operator);
    let told_at = operator.and_then(TableProofs::newest_told);
    let others_age = told_at.map(|at| now.since(at));
    let limit = Micros(front.settings.key_limit.0 * REFRESH_PART / 100);
    age > limit && others_age.is_some_and(|others| others + REFRESH_PAUSE < age)
}

/// A process beside an engine in the own failure domain, or anybody: the bytes between domains
/// cost more.
fn near_peer(
    front: &FrontContext,
    turn: usize,
) -> Option<SocketAddr> {
    let near: Vec<SocketAddr> = {
        let state = front.state();
        let config = state.config.as_ref()?;
        let is_near = |entry: &EndpointEntry| {
            entry.domain == front.settings.failure_domain
                && is_engine(config, entry)
                && entry.fresh_load(front.now()).is_some()
        };
        let entries = state.book.iter().map(|(_, entry)| entry);
        let engines = entries.filter(|entry| is_near(entry));
        let port = front.settings.beside_port;
        engines
            .map(|entry| SocketAddr::new(entry.address.ip(), port))
            .collect()
    };
    let nth = near.get(turn % near.len().max(1)).copied();
    nth.or_else(|| next_peer(front, turn))
}

/// Whom to ask next: seeds and processes beside engines by turns, as those that started
/// together with this front know nothing yet.
fn next_peer(
    front: &FrontContext,
    turn: usize,
) -> Option<SocketAddr> {
    let (seeds, besides) = (seeds(front), besides(front));
    let nth = |peers: &[SocketAddr]| peers.get(turn / 2 % peers.len().max(1)).copied();
    match turn % 2 {
        0 => nth(&seeds).or(nth(&besides)),
        _ => nth(&besides).or(nth(&seeds)),
    }
}

fn knows_all(front: &FrontContext) -> bool {
    let state = front.state();
    state.config.is_some() && state.has_list
}

/// Fronts that may hand state on.
fn seeds(front: &FrontContext) -> Vec<SocketAddr> {
    let settings = &front.settings;
    let is_own = |peer: &SocketAddr| *peer == settings.digests || Some(*peer) == settings.control;
    let seeds = settings.seeds.iter().copied();
    seeds.filter(|seed| !is_own(seed)).collect()
}

/// Processes beside engines that have been heard, or whose engines are listed.
fn besides(front: &FrontContext) -> Vec<SocketAddr> {
    let state = front.state();
    let heard = state.besides.iter().copied();
    let engines = state.config.iter().flat_map(|config| {
        let entries = state.book.iter().map(|(_, entry)| entry);
        entries.filter(|entry| is_engine(config, entry))
    });
    let port = front.settings.beside_port;
    let listed = engines.map(|entry| SocketAddr::new(entry.address.ip(), port));
    let besides: BTreeSet<SocketAddr> = heard.chain(listed).collect();
    besides.into_iter().collect()
}

/// Asks one peer; true where it told a state of one of ours.
async fn ask_peer(
    front: &FrontContext,
    peer: SocketAddr,
) -> bool {
    let key = front.settings.peer_key.as_ref();
    let asked_at = front.now();
    let Some(answer) = fetch_snapshot(peer, ASK_LIMIT, key).await else {
        return false;
    };
    let outcome = answer
        .snapshot
        .map_err(|error| error.to_string())
        .and_then(|state| take_state(front, state, asked_at));
    let (word, error) = match &outcome {
        Ok(()) => ("taken", ""),
        Err(error) => ("refused", error.as_str()),
    };
    let address = peer.to_string();
    let age_ms = front.state().trust.age(front.now());
    log::info!(
        event = "peer-state",
        peer = address.as_str(),
        outcome = word,
        error = error,
        bytes = answer.bytes,
        config_age_ms = age_ms.map_or(-1, |age| age.as_millis() as i64);
        ""
    );
    front.metrics.count("peer_states", word);
    outcome.is_ok()
}

/// Takes what a peer knows: nothing that is older than what is known here. Its ages count
/// from the question, as this process or the peer may have stood still since; so the stores'
/// lives, of which the least age counts, count from now.
fn take_state(
    front: &FrontContext,
    handed: StateSnapshot,
    asked_at: Micros,
) -> Result<(), String> {
    let config = decode_config(&handed.config).map_err(|error| error.to_string())?;
    if config.version != handed.version {
        return Err(format!(
            "configuration {} in a state of {}",
            config.version, handed.version
        ));
    }
    let before = front.state().config.as_ref().map_or(0, |c| c.version);
    if config.version < before {
        return Err(format!(
            "configuration {} is older than {before}",
            config.version
        ));
    }
    take_config(front, config, handed.config, "peer");
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    if handed.era.is_some_and(|era| state.eras.confirm(era, now)) {
        state.trust.invalidate();
        log::warn!(event = "store-era", doubted = "read before a peer told the era before"; "");
    }
    // Who has just started may know a copy of the store alone: it renews nothing.
    if handed.era.is_some() || state.trust.proven_at().is_none() {
        state.trust.record_report(handed.age, asked_at);
    }
    for naming in &handed.weights {
        state.planner.record_publication(naming, asked_at, now);
    }
    // With the namings that the peer knows, as parts of replaced weights are not saved.
    for life in &handed.store_uptimes {
        state.memory.record_uptime(life, now);
    }
    let handed_at = asked_at.since(handed.age);
    if state.trust.proven_at().is_none_or(|at| at < handed_at) {
        let told = handed.evacuated.iter();
        let told: Vec<_> = told
            .filter_map(|domain| state.evacuations.add_reported(domain))
            .collect();
        drop(guard);
        take_evacuations(front, &told, "peer");
        guard = front.state();
    }
    let state = &mut *guard;
    if state.has_list {
        return Ok(());
    }
    let notices = handed.endpoints.iter();
    let mut changes: Vec<_> = notices
        .filter_map(|notice| state.book.apply(notice))
        .collect();
    changes.extend(state.book.retire_superseded());
    let keys: Vec<EndpointKey> = state.book.iter().map(|(key, _)| key).collect();
    for key in keys {
        // A copy does not tell which of them have just started.
        begin_slow_start(state, key, None, now);
    }
    state.has_list = true;
    drop(guard);
    log_changes(front, &changes);
    Ok(())
}
