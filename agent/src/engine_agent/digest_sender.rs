use {
    super::{deliver_digest, pass_on, send_digest, EngineAgentContext, MAX_DIGEST_INTERVAL},
    pitchhitch_core::{
        dissemination::DeliveryPlan,
        serving::{
            digest_interval, relayed_digest_interval, EngineLoad, NamedRun, StoreProof,
            SuspectReport,
        },
        time::Micros,
    },
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::{DigestEcho, DigestPart, EngineDigest},
    smol::Timer,
    std::{net::SocketAddr, rc::Rc},
};

/// Minimum interval between digests that repeat what fronts or this agent have read from stores.
/// New reads of the platform store are forwarded at once.
const FORWARD_INTERVAL: Micros = Micros::from_millis(300);
/// Maximum age of forwarded results of reads of the platform store.
const PROOF_TTL: Micros = Micros::from_secs(10);
/// Maximum number of parts in one digest.
const MAX_PARTS_PER_DIGEST: usize = 400;
/// Maximum number of suspect requests in one digest; each takes about 100 bytes.
const MAX_SUSPECTS_PER_DIGEST: usize = 100;

/// Digests sent in this incarnation.
#[derive(Debug, Clone, Copy, Default)]
struct DigestCount {
    /// All of them.
    number: u64,
    /// Those with part changes.
    changes: u64,
}

/// Sends digests of the engine's state to all active fronts.
pub(crate) async fn send_digests(agent: Rc<EngineAgentContext>) {
    let mut count = DigestCount::default();
    let mut last_load = EngineLoad::default();
    let mut last_sent_at = Micros::ZERO;
    let mut last_forwarded_at = Micros::ZERO;
    loop {
        let interval = agent.state().digest_interval;
        agent.digest_due.wait(to_duration(interval)).await;
        let now = agent.now();
        let fronts = agent.state().fronts.active(now);
        let plan = plan_delivery(&agent, &fronts, now);
        update_interval(&agent, &plan);
        send_all_suspects(&agent, &mut count, fronts.len() as u32).await;
        send_all_parts(&agent, &mut count, fronts.len() as u32).await;
        announce_engine(&agent, &mut count, fronts.len() as u32).await;
        send_store_contents(&agent, &mut count, fronts.len() as u32).await;
        let relayed = agent.state().relay_queue.take(now);
        let load = agent.state().reported_load();
        let has_changes = agent.state().has_changes();
        let is_new = load != last_load || has_changes || agent.state().suspects.has_updates();
        if fronts.is_empty() || (!is_new && now.since(last_sent_at) < MAX_DIGEST_INTERVAL) {
            pass_on(&agent, &relayed, now).await;
            continue;
        }
        last_load = load;
        last_sent_at = now;
        count.number += 1;
        count.changes += u64::from(has_changes);
        let parts = take_pending_changes(&agent);
        let mut digest = build_digest(&agent, load, count, fronts.len() as u32, parts);
        digest.is_change = has_changes;
        digest.suspects = agent
            .state()
            .suspects
            .take_updates(MAX_SUSPECTS_PER_DIGEST, now);
        digest.named_runs = count_named_runs(&agent);
        digest.cache_reset = std::mem::take(&mut agent.state().has_cache_reset);
        let has_proofs = std::mem::take(&mut agent.state().has_new_proofs);
        if has_proofs || now.since(last_forwarded_at) >= forward_interval(interval) {
            digest.proofs = proofs_to_forward(&agent, now);
        }
        if now.since(last_forwarded_at) >= forward_interval(interval) {
            last_forwarded_at = now;
            digest.stores = agent
                .state()
                .stores
                .recent_updates(forward_interval(interval), now);
        }
        digest.rates = agent.state().rates.sums(now);
        if !digest.rates.is_empty() {
            agent.state().metrics.increment("rates", "sent");
        }
        deliver_digest(&agent, &digest, &plan, &relayed).await;
    }
}

/// How a digest reaches these fronts.
fn plan_delivery(
    agent: &EngineAgentContext,
    fronts: &[SocketAddr],
    now: Micros,
) -> DeliveryPlan<SocketAddr> {
    let domain = &agent.settings.failure_domain;
    agent.state().fronts.plan_delivery(fronts, domain, now)
}

/// Updates the interval between digests, which depends on the number of datagrams that one takes.
fn update_interval(
    agent: &EngineAgentContext,
    plan: &DeliveryPlan<SocketAddr>,
) {
    let mut state = agent.state();
    state.uses_relays = !plan.relayed.is_empty();
    state.digest_interval = match state.uses_relays {
        true => relayed_digest_interval(plan.message_count()),
        false => digest_interval(plan.message_count()),
    };
}

/// Interval between digests that repeat what fronts or this agent have read from stores.
fn forward_interval(digest_interval: Micros) -> Micros {
    FORWARD_INTERVAL.max(digest_interval)
}

fn proofs_to_forward(
    agent: &EngineAgentContext,
    now: Micros,
) -> Vec<StoreProof> {
    let state = agent.state();
    let trackers = state.proofs.iter();
    trackers
        .flat_map(|(table, tracker)| tracker.to_forward(*table, PROOF_TTL, now))
        .collect()
}

/// Sends the list of all cached parts to the fronts that requested it.
async fn send_all_parts(
    agent: &EngineAgentContext,
    count: &mut DigestCount,
    active_fronts: u32,
) {
    let requesters = std::mem::take(&mut agent.state().part_requesters);
    if requesters.is_empty() {
        return;
    }
    let requesters: Vec<SocketAddr> = requesters.into_iter().collect();
    let plan = plan_delivery(agent, &requesters, agent.now());
    let parts = agent.state().cached_parts();
    let load = agent.state().reported_load();
    let mut chunks: Vec<Vec<DigestPart>> = parts
        .chunks(MAX_PARTS_PER_DIGEST)
        .map(<[_]>::to_vec)
        .collect();
    if chunks.is_empty() {
        chunks.push(Vec::new());
    }
    let last = chunks.len() - 1;
    for (index, parts) in chunks.into_iter().enumerate() {
        count.number += 1;
        let mut digest = build_digest(agent, load, *count, active_fronts, parts);
        digest.is_whole = index == last;
        deliver_digest(agent, &digest, &plan, &[]).await;
    }
}

/// Sends all known suspect requests to the fronts that asked for this list because they have just
/// started or missed a digest.
async fn send_all_suspects(
    agent: &EngineAgentContext,
    count: &mut DigestCount,
    active_fronts: u32,
) {
    let requesters = std::mem::take(&mut agent.state().suspect_requesters);
    if requesters.is_empty() {
        return;
    }
    let now = agent.now();
    let reports = {
        let mut state = agent.state();
        state.suspects.prune(now);
        state.suspects.reports(now)
    };
    let load = agent.state().reported_load();
    let mut chunks: Vec<&[SuspectReport]> = reports.chunks(MAX_SUSPECTS_PER_DIGEST).collect();
    if chunks.is_empty() {
        chunks.push(&[]);
    }
    let last = chunks.len() - 1;
    for (index, chunk) in chunks.into_iter().enumerate() {
        count.number += 1;
        let mut digest = build_digest(agent, load, *count, active_fronts, Vec::new());
        digest.suspects = chunk.to_vec();
        digest.has_all_suspects = index == last;
        let requesters: Vec<SocketAddr> = requesters.iter().copied().collect();
        send_digest(agent, &digest, &requesters).await;
    }
}

/// Sends the whole content of KV stores to the fronts that asked for it. When each front that
/// started read all stores itself, it opened a connection to each.
async fn send_store_contents(
    agent: &EngineAgentContext,
    count: &mut DigestCount,
    active_fronts: u32,
) {
    let contents = agent.state().stores.take_contents(agent.now());
    let load = agent.state().reported_load();
    for (update, fronts) in contents {
        count.number += 1;
        let mut digest = build_digest(agent, load, *count, active_fronts, Vec::new());
        digest.stores = vec![update];
        send_digest(agent, &digest, &fronts).await;
    }
}

/// Announces the engine to fronts that no longer greet. Fronts that started while this box was
/// paused don't know the engine until it appears on the platform's endpoint list: with the platform
/// store unreachable, the engine kept outdated weights for 27 s.
async fn announce_engine(
    agent: &EngineAgentContext,
    count: &mut DigestCount,
    active_fronts: u32,
) {
    let now = agent.now();
    let Some((endpoint, silent)) = agent.state().due_announcement(now) else {
        return;
    };
    let load = agent.state().reported_load();
    count.number += 1;
    let mut digest = build_digest(agent, load, *count, active_fronts, Vec::new());
    digest.endpoint = Some(endpoint);
    send_digest(agent, &digest, &silent).await;
}

fn build_digest(
    agent: &EngineAgentContext,
    load: EngineLoad,
    count: DigestCount,
    fronts: u32,
    parts: Vec<DigestPart>,
) -> EngineDigest {
    let incarnation = agent.clock.incarnation();
    let number = count.number;
    let mut state = agent.state();
    state.sent_digests.record(
        DigestEcho {
            incarnation,
            number,
        },
        agent.now(),
    );
    EngineDigest {
        engine: agent.settings.engine,
        incarnation,
        number,
        changes: count.changes,
        is_change: false,
        born: state.born,
        load,
        weights: state.weights.clone(),
        clock_ms: state.clock_ms,
        fronts,
        cache_reset: false,
        is_whole: false,
        parts,
        suspects: Vec::new(),
        has_all_suspects: false,
        endpoint: None,
        proofs: Vec::new(),
        stores: Vec::new(),
        rates: Vec::new(),
        named_runs: Vec::new(),
    }
}

fn count_named_runs(agent: &EngineAgentContext) -> Vec<NamedRun> {
    let mut state = agent.state();
    let named = state.named_runs();
    for run in &named {
        state.metrics.increment("named_runs", run.cause.as_str());
    }
    named
}

fn take_pending_changes(agent: &EngineAgentContext) -> Vec<DigestPart> {
    let mut state = agent.state();
    let count = state.pending_changes.len().min(MAX_PARTS_PER_DIGEST);
    state.pending_changes.drain(..count).collect()
}

pub(crate) async fn sleep(span: Micros) {
    Timer::after(to_duration(span)).await;
}
