use {
    super::{
        claim_sender::{apply_claims, restore_claims},
        digest_apply::apply_digest,
        origin_sender::apply_origin,
    },
    crate::front::{
        apply_kv_store_update, handle_endpoint_changes, is_engine, log_outage, reader_id,
        FrontContext, FrontState, TableProofs,
    },
    pitchhitch_core::{
        serving::{
            digest_read_interval, EndpointChange, EndpointEntry, EndpointKey, EndpointNotice,
            ProvenTable,
        },
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::{
        codec::decode_body,
        engine_agent::{
            BundledDigest, DatagramSocket, DigestKey, DigestMessage, EngineDigest, FrontDatagram,
            GreetingEcho,
        },
    },
    smol::Timer,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Delay after a socket error.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Registry size from which on announced engines that are not listed are refused: twice the number
/// of endpoints that the design supports.
const MAX_ENDPOINTS: usize = 20_000;
/// Maximum number of known engine agents.
const MAX_KNOWN_AGENTS: usize = 64;

/// Receives digests from engine agents: each on arrival, or in batches if there are many endpoints.
pub(crate) async fn receive_digests(
    front: Rc<FrontContext>,
    socket: DatagramSocket,
) {
    let mut buffer = Vec::new();
    let mut rejected = 0;
    loop {
        match receive_digest(&front, &socket, &mut buffer).await {
            Ok((FrontDatagram::Digest(received), from)) => handle_digest(&front, *received, from),
            Ok((FrontDatagram::Bundle(bundle), from)) => {
                for bundled in bundle {
                    handle_bundled(&front, bundled, from);
                }
            }
            Ok((FrontDatagram::Origin(answer), from)) => apply_origin(&front, answer, from),
            Ok((FrontDatagram::Claims(answer), from)) => apply_claims(&front, &answer, from),
            Err(error) => {
                let error = error.to_string();
                log::warn!(event = "digest-failed", error = error.as_str(); "");
                Timer::after(SOCKET_RETRY_DELAY).await;
            }
        }
        if socket.rejected_count() != rejected {
            rejected = socket.rejected_count();
            front.metrics.increment("digests", "stranger");
        }
    }
}

async fn receive_digest(
    front: &FrontContext,
    socket: &DatagramSocket,
    buffer: &mut Vec<u8>,
) -> io::Result<(FrontDatagram, SocketAddr)> {
    loop {
        let interval = digest_read_interval(front.state().registry.len());
        if interval == Micros::ZERO || front.claim_waits.has_any() {
            return socket.receive_into(buffer).await;
        }
        if let Some(next) = socket.try_receive(buffer)? {
            return Ok(next);
        }
        front.claim_waits.pause(to_duration(interval)).await;
    }
}

/// Handles a digest among others, unless a copy of it or a later one was handled before.
fn handle_bundled(
    front: &FrontContext,
    bundled: BundledDigest,
    from: SocketAddr,
) {
    if is_known(front, &bundled.key) {
        front.metrics.increment("digests", "copy");
        return;
    }
    let Ok(digest) = decode_body::<EngineDigest>(&bundled.digest) else {
        front.metrics.increment("digests", "unreadable");
        return;
    };
    let received = DigestMessage {
        digest,
        echo: bundled.echo,
    };
    handle_digest(front, received, from);
}

fn is_known(
    front: &FrontContext,
    key: &DigestKey,
) -> bool {
    let state = front.state();
    let entry = engine_at(&state, key.engine).and_then(|key| state.registry.get(key));
    let known = entry.and_then(|entry| entry.incarnation.digest);
    known.is_some_and(|known| known.incarnation == key.incarnation && known.number >= key.number)
}

/// The engine that is present at an address.
pub(super) fn engine_at(
    state: &FrontState,
    address: SocketAddr,
) -> Option<EndpointKey> {
    let config = state.config.as_deref();
    let is_candidate = |entry: &EndpointEntry| config.is_none_or(|config| is_engine(config, entry));
    state.registry.present_at(address, is_candidate)
}

fn handle_digest(
    front: &FrontContext,
    received: DigestMessage,
    from: SocketAddr,
) {
    let DigestMessage { digest, echo } = received;
    record_agent(front, from);
    apply_relayed_reports(front, &digest, echo, from);
    apply_rates(front, &digest, echo);
    let change = apply_announcement(front, &digest, from);
    handle_endpoint_changes(front, change.as_slice());
    restore_claims(front, &digest);
    // Only the agent of an engine grants requests to it; digests with grants are not relayed.
    let is_own = digest.engine.ip() == from.ip();
    let change = apply_digest(front, digest, echo.filter(|_| is_own));
    handle_endpoint_changes(front, change.as_slice());
}

/// Records the arrival of a digest, and its sender as an agent that may provide a state snapshot.
fn record_agent(
    front: &FrontContext,
    from: SocketAddr,
) {
    let now = front.now();
    let mut state = front.state();
    state.last_digest_at = Some(now);
    if state.known_agents.len() < MAX_KNOWN_AGENTS {
        state.known_agents.insert(from);
    }
}

/// Applies what the sender of a digest reports on behalf of others: reads of the platform store by
/// other fronts, and its own reads of KV stores. The greeting that the digest echoes bounds the
/// delay of these reports, including the time for which the digest waited while this process was
/// paused.
fn apply_relayed_reports(
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
    let earliest_sent_at =
        echo.and_then(|echo| Some(state.greetings.started_at(echo.number)? + echo.age));
    let Some(max_delay) = earliest_sent_at.map(|at| now.since(at)) else {
        return;
    };
    let reporter = reporter_id(from);
    let own_id = reader_id(front);
    for proof in digest.proofs.iter().filter(|proof| proof.source != own_id) {
        let sent_at = now.since(proof.age + max_delay);
        state.readers.record_report(proof, reporter, sent_at);
        if proof.table == ProvenTable::Endpoints {
            let outage = state.list_outages.record_report(sent_at, now);
            log_outage(front, outage, "reported");
        }
    }
    let operator = state.readers.table(ProvenTable::Operator);
    if let Some(at) = operator.and_then(TableProofs::confirmed_at) {
        state.key_freshness.record_confirmed_read(at);
    }
    for update in &digest.stores {
        apply_kv_store_update(state, update, max_delay, now);
    }
}

/// Applies sums of the fronts' rates by organisation. The greeting that the digest echoes bounds
/// its age; without an echo the age is unknown, and the sums are not used.
fn apply_rates(
    front: &FrontContext,
    digest: &EngineDigest,
    echo: Option<GreetingEcho>,
) {
    if digest.rates.is_empty() {
        return;
    }
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let sent_at = echo.and_then(|echo| Some(state.greetings.started_at(echo.number)? + echo.age));
    let is_used = sent_at.is_some_and(|sent_at| {
        let rates = digest.rates.clone();
        state
            .admission
            .record_rates(digest.engine, rates, sent_at, now)
    });
    let outcome = if is_used { "taken" } else { "late" };
    front.metrics.increment("rates", outcome);
}

/// Identifies the sender of a report within this process.
fn reporter_id(from: SocketAddr) -> u32 {
    let mut hasher = DefaultHasher::new();
    from.hash(&mut hasher);
    hasher.finish() as u32
}

/// Registers an engine that announces itself but is not listed. It receives no requests, but is
/// greeted and ordered to load weights.
fn apply_announcement(
    front: &FrontContext,
    digest: &EngineDigest,
    from: SocketAddr,
) -> Option<EndpointChange> {
    let notice = digest.endpoint.as_ref()?;
    let mut guard = front.state();
    let state = &mut *guard;
    // Greetings are sent to the announced address, so an agent may only announce its own engine.
    let is_own = notice.address == Some(digest.engine) && digest.engine.ip() == from.ip();
    let services = state.config.as_ref().map(|config| &config.services);
    let service = services.and_then(|services| services.get(&notice.service));
    let is_engine = service.is_some_and(|service| service.engine.is_some());
    // Until the list has been read, every engine would appear to be unlisted.
    if !is_own || !is_engine || !state.has_list || state.registry.len() >= MAX_ENDPOINTS {
        front.metrics.increment("announcements", "refused");
        return None;
    }
    front.metrics.increment("announcements", "taken");
    state.registry.apply(&EndpointNotice {
        is_away: true,
        weights: digest.weights.clone(),
        ..notice.clone()
    })
}
