use {
    super::{BesideContext, BesideState, QUIET_LIMIT},
    pitchhitch_core::{
        serving::{digest_interval, EngineLoad, ListedIncarnation, StoreProof, SuspectReport},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::beside::{DigestEcho, DigestPart, EngineDigest, FrontHello, WrittenDigest},
    smol::Timer,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Pause after a socket that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(45);
/// Pause between two digests that tell what others have read, at least.
const RELAY_PAUSE: Micros = Micros::from_millis(300);
/// Age up to which it is told what fronts have read at the platform's store.
const PROOF_LIFE: Micros = Micros::from_secs(10);
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
    let mut room = Vec::new();
    loop {
        match beside.socket.receive_into::<FrontHello>(&mut room).await {
            Ok((hello, from)) => {
                let now = beside.now();
                let mut state = beside.state();
                let domain = &beside.settings.failure_domain;
                let age = state.sent.greeting_age(hello.echo, now);
                state.fronts.heard(from, &hello, age, now);
                state.fronts.limit_starts(hello.start_limit);
                state.keeper.heard(&hello, age, from, domain, now);
                take_proofs(&mut state, &hello, age, now);
                for store in &hello.watches {
                    state.stores.ask(*store, now);
                }
                if hello.wants_suspects {
                    state.suspect_askers.insert(from);
                    beside.digest_due.wake();
                }
                if hello.wants_all {
                    state.newcomers.insert(from);
                }
                take_hello(&mut state, hello, age, now);
                if state.suspects.has_updates() {
                    beside.digest_due.wake();
                }
                if state.wants_order() {
                    beside.order_due.wake();
                }
            }
            Err(error) => {
                let error = error.to_string();
                log::warn!(event = "hello-failed", error = error.as_str(); "");
                Timer::after(FAILED_PAUSE).await;
            }
        }
    }
}

/// Takes what a front has read at the platform's store. What may have waited here for any time
/// proves nothing.
fn take_proofs(
    state: &mut BesideState,
    hello: &FrontHello,
    age: Option<Micros>,
    now: Micros,
) {
    let Some(age) = age else {
        return;
    };
    for proof in &hello.proofs {
        let sent_at = now.since(age + proof.age);
        let book = state.proofs.entry(proof.table).or_default();
        let is_news = book.record(proof, proof.source, sent_at);
        state.has_fresh_proofs |= is_news;
    }
}

fn take_hello(
    state: &mut BesideState,
    hello: FrontHello,
    age: Option<Micros>,
    now: Micros,
) {
    for told in &hello.suspects {
        state.suspects.merge_and_forward(told, now);
    }
    let id = hello.engine_id.as_deref();
    let life = ListedIncarnation {
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
    let mut relayed_at = Micros::ZERO;
    loop {
        let pause = beside.state().digest_pause;
        beside.digest_due.wait(to_duration(pause)).await;
        let now = beside.now();
        let fronts = beside.state().fronts.listening(now);
        beside.state().digest_pause = digest_interval(fronts.len());
        tell_suspects(&beside, &mut count, fronts.len() as u32).await;
        tell_newcomers(&beside, &mut count, fronts.len() as u32).await;
        announce(&beside, &mut count, fronts.len() as u32).await;
        let load = beside.state().told_load();
        let has_changes = beside.state().has_changes();
        let is_news = load != told || has_changes || beside.state().suspects.has_updates();
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
        digest.suspects = beside.state().suspects.take_updates(SUSPECTS_LIMIT, now);
        digest.forgets = std::mem::take(&mut beside.state().forgets);
        let has_proofs = std::mem::take(&mut beside.state().has_fresh_proofs);
        if has_proofs || now.since(relayed_at) >= relay_pause(pause) {
            digest.proofs = told_proofs(&beside, now);
        }
        if now.since(relayed_at) >= relay_pause(pause) {
            relayed_at = now;
            digest.stores = beside.state().stores.news(relay_pause(pause), now);
        }
        send(&beside, &digest, &fronts).await;
    }
}

/// Pause between two digests that tell what others have read.
fn relay_pause(digest_pause: Micros) -> Micros {
    RELAY_PAUSE.max(digest_pause)
}

fn told_proofs(
    beside: &BesideContext,
    now: Micros,
) -> Vec<StoreProof> {
    let state = beside.state();
    let books = state.proofs.iter();
    books
        .flat_map(|(table, book)| book.to_forward(*table, PROOF_LIFE, now))
        .collect()
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
        let newcomers: Vec<SocketAddr> = newcomers.iter().copied().collect();
        send(beside, &digest, &newcomers).await;
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
        state.suspects.reports(now)
    };
    let load = beside.state().told_load();
    let mut pieces: Vec<&[SuspectReport]> = told.chunks(SUSPECTS_LIMIT).collect();
    if pieces.is_empty() {
        pieces.push(&[]);
    }
    let last = pieces.len() - 1;
    for (place, piece) in pieces.into_iter().enumerate() {
        count.number += 1;
        let mut digest = make_digest(beside, load, *count, fronts, Vec::new());
        digest.suspects = piece.to_vec();
        digest.has_all_suspects = place == last;
        let askers: Vec<SocketAddr> = askers.iter().copied().collect();
        send(beside, &digest, &askers).await;
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
    send(beside, &digest, &silent).await;
}

/// Sends a digest to some fronts: it is written once, and each is told which of its greetings
/// came last. One that is lost costs freshness only.
async fn send(
    beside: &BesideContext,
    digest: &EngineDigest,
    fronts: &[SocketAddr],
) {
    let Ok(written) = WrittenDigest::new(digest) else {
        return;
    };
    for front in fronts {
        let listening = digest.fronts as usize;
        let echo = beside.state().fronts.echo(*front, listening, beside.now());
        beside.state().metrics.count("digests", "sent");
        let Ok(body) = written.told(echo) else {
            continue;
        };
        if let Err(error) = beside.socket.send_body(body, *front).await {
            let error = error.to_string();
            log::debug!(event = "digest-failed", error = error.as_str(); "");
        }
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
        proofs: Vec::new(),
        stores: Vec::new(),
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
