use {
    super::{BesideContext, BesideState},
    pitchhitch_core::{
        serving::{EngineLoad, ListedLife, ToldSuspect},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::beside::{DigestEcho, DigestPart, EngineDigest, FrontHello},
    smol::Timer,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// How often it is looked whether there is something to tell, with few fronts.
const LOOK_PAUSE: Duration = Duration::from_millis(45);
/// The same with many fronts: each pays for every engine's digests.
const LOOK_PAUSE_MANY: Duration = Duration::from_millis(95);
/// Fronts from which they are many.
const MANY_FRONTS: usize = 8;
/// Longest time between two digests: fronts take silence for a sign.
const QUIET_LIMIT: Micros = Micros::from_millis(250);
/// Parts in one digest.
const PARTS_LIMIT: usize = 400;
/// Suspects in one digest: some 100 bytes each.
const SUSPECTS_LIMIT: usize = 100;

/// Digests sent in this life.
#[derive(Debug, Clone, Copy, Default)]
struct DigestCount {
    /// All of them.
    number: u64,
    /// Those with changes of parts.
    changes: u64,
}

/// Takes what fronts say.
pub(crate) async fn hear_fronts(beside: Rc<BesideContext>) {
    loop {
        match beside.socket.receive::<FrontHello>().await {
            Ok((hello, from)) => {
                let now = beside.now();
                let mut state = beside.state();
                let domain = &beside.settings.failure_domain;
                let age = state.sent.greeting_age(hello.echo, now);
                state.heard(from, age, hello.echo.is_none(), now);
                state.keeper.heard(&hello, age, from, domain, now);
                if hello.wants_suspects {
                    state.suspect_askers.insert(from);
                    beside.digest_due.wake();
                }
                if hello.wants_all {
                    state.newcomers.insert(from);
                }
                take_hello(&mut state, hello, age, now);
                if state.suspects.has_news() {
                    beside.digest_due.wake();
                }
            }
            Err(error) => {
                let error = error.to_string();
                log::warn!(event = "hello-failed", error = error.as_str(); "");
                Timer::after(LOOK_PAUSE).await;
            }
        }
    }
}

fn take_hello(
    state: &mut BesideState,
    hello: FrontHello,
    age: Option<Micros>,
    now: Micros,
) {
    for told in &hello.suspects {
        state.suspects.tell_on(told, now);
    }
    let id = hello.engine_id.as_deref();
    let life = ListedLife {
        born: hello.engine_born,
        row: hello.engine_row,
    };
    if let Some(id) = id.filter(|id| state.note_id(id, life)) {
        log::info!(
            event = "engine-id",
            engine = id,
            born = hello.engine_born.unwrap_or(0),
            front = hello.front.as_str();
            ""
        );
    }
    if let Some(id) = id {
        state.note_end(id, life, hello.is_leaving);
    }
    for named in hello.wanted {
        let wanted = state.wanted.entry(named.model.clone()).or_default();
        // Hellos may overtake each other: a version never goes back.
        if named.version < wanted.version {
            continue;
        }
        if named.version > wanted.version {
            log::info!(
                event = "weights-wanted",
                model = named.model.as_str(),
                version = named.version,
                front = hello.front.as_str();
                ""
            );
            wanted.version = named.version;
            wanted.turn_at = None;
        }
        // A turn that was given long ago may be somebody else's now.
        if let Some(age) = age.filter(|_| named.is_turn) {
            wanted.turn_at = wanted.turn_at.max(Some(now.since(age)));
        }
    }
}

/// Tells all fronts what the engine does.
pub(crate) async fn send_digests(beside: Rc<BesideContext>) {
    let mut count = DigestCount::default();
    let mut told = EngineLoad::default();
    let mut told_at = Micros::ZERO;
    let mut pause = LOOK_PAUSE;
    loop {
        beside.digest_due.wait(pause).await;
        let now = beside.now();
        let fronts = beside.state().fronts(now);
        pause = match fronts.len() {
            0..MANY_FRONTS => LOOK_PAUSE,
            _ => LOOK_PAUSE_MANY,
        };
        tell_suspects(&beside, &mut count, fronts.len() as u32).await;
        tell_newcomers(&beside, &mut count, fronts.len() as u32).await;
        announce(&beside, &mut count, fronts.len() as u32).await;
        let load = beside.state().told_load();
        let has_changes = beside.state().has_changes();
        let is_news = load != told || has_changes || beside.state().suspects.has_news();
        if fronts.is_empty() || (!is_news && now.since(told_at) < QUIET_LIMIT) {
            continue;
        }
        told = load;
        told_at = now;
        count.number += 1;
        count.changes += u64::from(has_changes);
        let parts = take_pending(&beside);
        let mut digest = make_digest(&beside, load, count, fronts.len() as u32, parts);
        digest.is_change = has_changes;
        digest.suspects = beside.state().suspects.take_news(SUSPECTS_LIMIT, now);
        digest.forgets = std::mem::take(&mut beside.state().forgets);
        for front in fronts {
            send(&beside, &digest, front).await;
        }
    }
}

/// Tells fronts that have just come all that the engine keeps.
async fn tell_newcomers(
    beside: &BesideContext,
    count: &mut DigestCount,
    fronts: u32,
) {
    let newcomers = std::mem::take(&mut beside.state().newcomers);
    if newcomers.is_empty() {
        return;
    }
    let kept = beside.state().kept();
    let load = beside.state().told_load();
    let mut pieces: Vec<Vec<DigestPart>> = kept.chunks(PARTS_LIMIT).map(<[_]>::to_vec).collect();
    if pieces.is_empty() {
        pieces.push(Vec::new());
    }
    let last = pieces.len() - 1;
    for (place, parts) in pieces.into_iter().enumerate() {
        count.number += 1;
        let mut digest = make_digest(beside, load, *count, fronts, parts);
        digest.is_whole = place == last;
        for front in &newcomers {
            send(beside, &digest, *front).await;
        }
    }
}

/// Tells fronts that have just started, or missed something, of all suspects.
async fn tell_suspects(
    beside: &BesideContext,
    count: &mut DigestCount,
    fronts: u32,
) {
    let askers = std::mem::take(&mut beside.state().suspect_askers);
    if askers.is_empty() {
        return;
    }
    let now = beside.now();
    let told = {
        let mut state = beside.state();
        state.suspects.prune(now);
        state.suspects.told(now)
    };
    let load = beside.state().told_load();
    let mut pieces: Vec<&[ToldSuspect]> = told.chunks(SUSPECTS_LIMIT).collect();
    if pieces.is_empty() {
        pieces.push(&[]);
    }
    let last = pieces.len() - 1;
    for (place, piece) in pieces.into_iter().enumerate() {
        count.number += 1;
        let mut digest = make_digest(beside, load, *count, fronts, Vec::new());
        digest.suspects = piece.to_vec();
        digest.has_all_suspects = place == last;
        for front in &askers {
            send(beside, &digest, *front).await;
        }
    }
}

/// Tells fronts that greet no more which engine this is. Fronts that started while this box
/// stood still know of no such engine until the list shows it: with the platform's store away
/// it kept replaced weights for 27 s.
async fn announce(
    beside: &BesideContext,
    count: &mut DigestCount,
    fronts: u32,
) {
    let now = beside.now();
    let Some((endpoint, silent)) = beside.state().announcement(now) else {
        return;
    };
    let load = beside.state().told_load();
    count.number += 1;
    let mut digest = make_digest(beside, load, *count, fronts, Vec::new());
    digest.endpoint = Some(endpoint);
    for front in silent {
        send(beside, &digest, front).await;
    }
}

/// A digest that is lost costs freshness only.
async fn send(
    beside: &BesideContext,
    digest: &EngineDigest,
    front: SocketAddr,
) {
    beside.state().metrics.count("digests", "sent");
    if let Err(error) = beside.socket.send(digest, front).await {
        let error = error.to_string();
        log::debug!(event = "digest-failed", error = error.as_str(); "");
    }
}

fn make_digest(
    beside: &BesideContext,
    load: EngineLoad,
    count: DigestCount,
    fronts: u32,
    parts: Vec<DigestPart>,
) -> EngineDigest {
    let life = beside.clock.incarnation();
    let number = count.number;
    let mut state = beside.state();
    state.sent.note(DigestEcho { life, number }, beside.now());
    EngineDigest {
        engine: beside.settings.engine,
        life,
        number,
        changes: count.changes,
        is_change: false,
        born: state.born,
        load,
        weights: state.weights.clone(),
        clock_ms: state.clock_ms,
        fronts,
        forgets: false,
        is_whole: false,
        parts,
        suspects: Vec::new(),
        has_all_suspects: false,
        endpoint: None,
    }
}

fn take_pending(beside: &BesideContext) -> Vec<DigestPart> {
    let mut state = beside.state();
    let count = state.pending.len().min(PARTS_LIMIT);
    state.pending.drain(..count).collect()
}

/// Waits a span of the core.
pub(crate) async fn pause(span: Micros) {
    Timer::after(to_duration(span)).await;
}
