use {
    super::{
        is_engine, log_changes, reader_number, take_store_news, update_weights, FrontContext,
        FrontState, TableProofs,
    },
    pitchhitch_core::{
        serving::{
            digest_read_interval, DigestOrder, DigestPosition, EndpointChange, EndpointEntry,
            EndpointKey, EndpointNotice, IncarnationOrder, ProvenTable,
        },
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::{DatagramSocket, DigestMessage, EngineDigest, GreetingEcho},
    smol::Timer,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Pause after a socket that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(100);
/// Endpoints from which on none is taken that is on no list: twice those that the design
/// is for.
const ENDPOINTS_LIMIT: usize = 20_000;
/// Processes beside engines that are remembered.
const BESIDES_LIMIT: usize = 64;

/// Takes what the processes beside engines tell: one after the other, and many at once where
/// many tell.
pub(crate) async fn hear_digests(
    front: Rc<FrontContext>,
    socket: DatagramSocket,
) {
    let mut room = Vec::new();
    let mut strangers = 0;
    loop {
        match next_digest(&front, &socket, &mut room).await {
            Ok((told, from)) => hear(&front, told, from),
            Err(error) => {
                let error = error.to_string();
                log::warn!(event = "digest-failed", error = error.as_str(); "");
                Timer::after(FAILED_PAUSE).await;
            }
        }
        if socket.rejected_count() != strangers {
            strangers = socket.rejected_count();
            front.metrics.count("digests", "stranger");
        }
    }
}

async fn next_digest(
    front: &FrontContext,
    socket: &DatagramSocket,
    room: &mut Vec<u8>,
) -> io::Result<(DigestMessage, SocketAddr)> {
    loop {
        let pause = digest_read_interval(front.state().book.len());
        if pause == Micros::ZERO {
            return socket.receive_into(room).await;
        }
        if let Some(next) = socket.try_receive(room)? {
            return Ok(next);
        }
        Timer::after(to_duration(pause)).await;
    }
}

fn hear(
    front: &FrontContext,
    told: DigestMessage,
    from: SocketAddr,
) {
    let DigestMessage { digest, echo } = told;
    note_beside(front, from);
    take_relayed(front, &digest, echo, from);
    let change = take_announced(front, &digest, from);
    log_changes(front, change.as_slice());
    let is_own = digest.engine.ip() == from.ip();
    let change = take_digest(front, digest, echo.filter(|_| is_own));
    log_changes(front, change.as_slice());
}

/// Records what this front may send to the engine while that starts slowly; it counts from when
/// the greeting that it names began.
fn take_grant(
    state: &mut FrontState,
    key: EndpointKey,
    echo: GreetingEcho,
) {
    let began_at = state.greetings.began_at(echo.number);
    if let (Some(began_at), Some(entry)) = (began_at, state.book.get_mut(key)) {
        entry
            .slow_start
            .update_grant(echo.grant, began_at + echo.age);
    }
}

/// Remembers who was heard, as long as state may have to be asked for.
fn note_beside(
    front: &FrontContext,
    from: SocketAddr,
) {
    let now = front.now();
    let mut state = front.state();
    state.heard_at = Some(now);
    if state.besides.len() < BESIDES_LIMIT {
        state.besides.insert(from);
    }
}

/// Takes what the sender of a digest tells of others: of fronts that have read the platform's
/// store, and of stores of kept parts that it has read. How long that was on its way is bounded
/// by the greeting that the digest names: what lay here while this process stood still is as old
/// as it is.
fn take_relayed(
    front: &FrontContext,
    digest: &EngineDigest,
    echo: Option<GreetingEcho>,
    from: SocketAddr,
) {
    if digest.proofs.is_empty() && digest.stores.is_empty() {
        return;
    }
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let greeted_at = echo.and_then(|echo| Some(state.greetings.began_at(echo.number)? + echo.age));
    let Some(way) = greeted_at.map(|at| now.since(at)) else {
        return;
    };
    let teller = teller_number(from);
    let own = reader_number(front);
    for proof in digest.proofs.iter().filter(|proof| proof.source != own) {
        let sent_at = now.since(proof.age + way);
        state.readers.hear(proof, teller, sent_at);
    }
    let operator = state.readers.table(ProvenTable::Operator);
    if let Some(at) = operator.and_then(TableProofs::witnessed_at) {
        state.trust.record_confirmed_read(at);
    }
    for news in &digest.stores {
        take_store_news(state, news, way, now);
    }
}

/// A number that tells who told something, in this process.
fn teller_number(from: SocketAddr) -> u32 {
    let mut hasher = DefaultHasher::new();
    from.hash(&mut hasher);
    hasher.finish() as u32
}

/// Takes that there is an engine which is on no list: it gets no requests, but is
/// greeted and told to load.
fn take_announced(
    front: &FrontContext,
    digest: &EngineDigest,
    from: SocketAddr,
) -> Option<EndpointChange> {
    let told = digest.endpoint.as_ref()?;
    let mut guard = front.state();
    let state = &mut *guard;
    // Whoever is told of here gets greetings: nobody brings those upon others.
    let is_own = told.address == Some(digest.engine) && digest.engine.ip() == from.ip();
    let groups = state.config.as_ref().map(|config| &config.services);
    let group = groups.and_then(|groups| groups.get(&told.service));
    let is_engine = group.is_some_and(|group| group.engine.is_some());
    // Before the list is read, it is on no list for that reason alone.
    if !is_own || !is_engine || !state.has_list || state.book.len() >= ENDPOINTS_LIMIT {
        front.metrics.count("announcements", "refused");
        return None;
    }
    front.metrics.count("announcements", "taken");
    state.book.apply(&EndpointNotice {
        is_away: true,
        weights: digest.weights.clone(),
        ..told.clone()
    })
}

/// Takes a digest, and what the process beside the engine grants with it; returns whether it tells
/// that the engine has started again.
fn take_digest(
    front: &FrontContext,
    digest: EngineDigest,
    granted: Option<GreetingEcho>,
) -> Option<EndpointChange> {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    if digest.endpoint.is_none() {
        // A front that is told of an engine is not among those that it hears.
        state.fronts = digest.fronts.max(1);
    }
    let config = state.config.as_deref();
    let may_be = |entry: &EndpointEntry| config.is_none_or(|config| is_engine(config, entry));
    let key = state.book.present_at(digest.engine, may_be);
    if let (Some(key), Some(echo)) = (key, granted) {
        take_grant(state, key, echo);
    }
    let order = key.map(|key| state.book.observe_incarnation(key, digest.born, now));
    if order == Some(IncarnationOrder::Earlier) {
        front.metrics.count("digests", "earlier-life");
        return None;
    }
    state
        .reads
        .record_report(digest.engine, digest.clock_ms, now);
    let key = key?;
    take_suspects(front, state, &digest, now);
    let entry = state.book.get_mut(key)?;
    let change = (order == Some(IncarnationOrder::Later))
        .then(|| EndpointChange::Restarts(entry.id.clone()));
    match note_place(entry, &digest, now) {
        DigestOrder::Overtaken => {
            front.metrics.count("digests", "overtaken");
            return change;
        }
        DigestOrder::Gap => {
            // All that is kept is asked for anew, with the next hello.
            front.metrics.count("digests", "gap");
            entry.is_mirrored = false;
            state.wants_suspects = true;
        }
        DigestOrder::Next => {}
    }
    take_load(entry, &digest, now);
    state.pace.record_report(digest.load.unread);
    take_weights(state, key, &digest, now);
    take_parts(state.book.get_mut(key)?, &digest);
    change
}

/// Takes what is told of requests under which endpoints ended, in whatever order.
fn take_suspects(
    front: &FrontContext,
    state: &mut FrontState,
    digest: &EngineDigest,
    now: Micros,
) {
    for told in &digest.suspects {
        let was_held = state.suspects.is_held(told.fingerprint, now);
        if !state.suspects.merge(told, now) {
            continue;
        }
        front.metrics.count("suspects", "told");
        let is_held = state.suspects.is_held(told.fingerprint, now);
        if is_held != was_held {
            if was_held {
                // A row of ours may name it still.
                front.held_due.wake();
            }
            let fingerprint = told.fingerprint.to_string();
            log::info!(
                event = "suspect-told",
                fingerprint = fingerprint.as_str(),
                held = is_held,
                crashes = told.crashes.len();
                ""
            );
        }
    }
    if digest.has_all_suspects {
        if !state.knows_suspects {
            let known = state.suspects.len();
            log::info!(event = "suspects-known", suspects = known, after_ms = now.as_millis(); "");
        }
        state.knows_suspects = true;
        state.wants_suspects = false;
    }
}

fn note_place(
    entry: &mut EndpointEntry,
    digest: &EngineDigest,
    now: Micros,
) -> DigestOrder {
    let mark = DigestPosition {
        incarnation: digest.incarnation,
        number: digest.number,
        changes: digest.changes,
        at: now,
    };
    entry.incarnation.record_digest(mark, digest.is_change)
}

fn take_load(
    entry: &mut EndpointEntry,
    digest: &EngineDigest,
    now: Micros,
) {
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
}

fn take_weights(
    state: &mut FrontState,
    key: EndpointKey,
    digest: &EngineDigest,
    now: Micros,
) {
    let proven_at = state.trust.proven_at();
    let Some(entry) = state.book.get_mut(key) else {
        return;
    };
    for (model, version) in &digest.weights {
        if state
            .planner
            .record_engine_version(model, *version, proven_at, now)
        {
            log::warn!(
                event = "weights-named",
                model = model.as_str(),
                version = *version,
                source = "engine",
                endpoint = entry.id.as_str();
                ""
            );
        }
        update_weights(entry, model, *version, "digest");
    }
}

fn take_parts(
    entry: &mut EndpointEntry,
    digest: &EngineDigest,
) {
    if digest.cache_reset {
        entry.parts.clear();
    }
    entry.is_mirrored |= digest.is_whole;
    for part in &digest.parts {
        entry.parts.set(part.namespace, part.id, part.tokens);
    }
}
