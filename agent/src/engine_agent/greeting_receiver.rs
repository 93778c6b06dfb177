use {
    super::{accept_relayed, EngineAgentContext, EngineAgentState},
    pitchhitch_core::{
        serving::{ClaimCall, ListedIncarnation, StreamId, StreamOrigin},
        time::Micros,
    },
    pitchhitch_wire::engine_agent::{AgentDatagram, FrontDatagram, FrontGreeting, OriginAnswer},
    smol::Timer,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Delay after a socket error.
const RETRY_DELAY: Duration = Duration::from_millis(45);

/// Receives and processes greetings of fronts, and digests to be passed on.
pub(crate) async fn receive_datagrams(agent: Rc<EngineAgentContext>) {
    let mut buffer = Vec::new();
    loop {
        match agent
            .socket
            .receive_into::<AgentDatagram>(&mut buffer)
            .await
        {
            Ok((AgentDatagram::Relay(digest), from)) => accept_relayed(&agent, digest, from),
            Ok((AgentDatagram::Greeting(greeting), from)) => {
                accept_greeting(&agent, *greeting, from)
            }
            Ok((AgentDatagram::Origins(origins), _)) => record_origins(&agent, &origins),
            Ok((AgentDatagram::OriginQuery(stream), from)) => {
                answer_query(&agent, stream, from).await;
            }
            Ok((AgentDatagram::Claims(call), from)) => apply_claims(&agent, call, from).await,
            Err(error) => {
                let error = error.to_string();
                log::warn!(event = "hello-failed", error = error.as_str(); "");
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

fn accept_greeting(
    agent: &EngineAgentContext,
    greeting: FrontGreeting,
    from: SocketAddr,
) {
    let now = agent.now();
    let mut state = agent.state();
    let domain = &agent.settings.failure_domain;
    let age = state.sent_digests.greeting_age(greeting.echo, now);
    state.fronts.record_greeting(from, &greeting, age, now);
    state.fronts.set_start_limit(greeting.start_limit);
    state
        .snapshot_cache
        .record_offer(&greeting, age, from, domain, now);
    record_proofs(&mut state, &greeting, age, now);
    record_rates(&mut state, &greeting, age, from, now);
    for store in &greeting.watches {
        state.stores.request(*store, now);
    }
    for store in &greeting.wanted_contents {
        state.stores.request_content(*store, from, now);
    }
    if greeting.wants_suspects {
        state.suspect_requesters.insert(from);
        agent.digest_due.wake();
    }
    if greeting.wants_all {
        state.part_requesters.insert(from);
    }
    apply_greeting(&mut state, greeting, age, now);
    if state.suspects.has_updates() {
        agent.digest_due.wake();
    }
    if state.needs_order() {
        agent.order_due.wake();
    }
}

fn record_origins(
    agent: &EngineAgentContext,
    origins: &[StreamOrigin],
) {
    let now = agent.now();
    let mut state = agent.state();
    for origin in origins {
        state.origins.record(*origin, now);
    }
    state.metrics.increment("origins", "recorded");
}

async fn answer_query(
    agent: &EngineAgentContext,
    stream: StreamId,
    from: SocketAddr,
) {
    let software = {
        let mut state = agent.state();
        let software = state.origins.get(stream);
        let outcome = if software.is_some() {
            "known"
        } else {
            "unknown"
        };
        state.metrics.increment("origins", outcome);
        software
    };
    let answer = FrontDatagram::Origin(OriginAnswer { stream, software });
    // The front asks several agents and does not rely on each answer.
    if let Err(error) = agent.socket.send(&answer, from).await {
        let error = error.to_string();
        log::debug!(event = "origin-unsent", error = error.as_str(); "");
    }
}

/// Applies what a front tells about its claims of prompt parts, and answers if it asks for some.
async fn apply_claims(
    agent: &EngineAgentContext,
    call: ClaimCall,
    from: SocketAddr,
) {
    let answer = agent.state().claims.apply(call, agent.now());
    let Some(answer) = answer else {
        return;
    };
    for (outcome, parts) in [("granted", &answer.granted), ("refused", &answer.refused)] {
        for _ in parts {
            agent.state().metrics.increment("claims", outcome);
        }
    }
    // Without an answer, the front does not have the parts saved.
    let datagram = FrontDatagram::Claims(answer);
    if let Err(error) = agent.socket.send(&datagram, from).await {
        let error = error.to_string();
        log::debug!(event = "claims-unsent", error = error.as_str(); "");
    }
}

/// Records a front's reads of the platform store. A greeting of unknown age is ignored: it may have
/// waited in the socket for any time and proves nothing.
fn record_proofs(
    state: &mut EngineAgentState,
    greeting: &FrontGreeting,
    age: Option<Micros>,
    now: Micros,
) {
    let Some(age) = age else {
        return;
    };
    for proof in &greeting.proofs {
        let sent_at = now.since(age + proof.age);
        let tracker = state.proofs.entry(proof.table).or_default();
        let is_new = tracker.record(proof, proof.source, sent_at);
        state.has_new_proofs |= is_new;
    }
}

/// Records a front's rates by organisation. One without an echo counts as just sent: the
/// front has started a moment ago. Any other greeting of unknown age may have waited in the socket
/// and is ignored.
fn record_rates(
    state: &mut EngineAgentState,
    greeting: &FrontGreeting,
    age: Option<Micros>,
    from: SocketAddr,
    now: Micros,
) {
    if age.is_none() && greeting.echo.is_some() {
        return;
    }
    let sent_at = now.since(age.unwrap_or_default());
    let rates = greeting.rates.clone();
    let is_used = state.rates.record(from, rates, sent_at, now);
    if !greeting.rates.is_empty() {
        let outcome = if is_used { "taken" } else { "late" };
        state.metrics.increment("rates", outcome);
    }
}

fn apply_greeting(
    state: &mut EngineAgentState,
    greeting: FrontGreeting,
    age: Option<Micros>,
    now: Micros,
) {
    for report in &greeting.suspects {
        state.suspects.merge_and_forward(report, now);
    }
    let id = greeting.engine_id.as_deref();
    let incarnation = ListedIncarnation {
        born: greeting.engine_born,
        row: greeting.engine_row,
    };
    if let Some(id) = id.filter(|id| state.record_engine_id(id, incarnation)) {
        log::info!(
            event = "engine-id",
            engine = id,
            born = greeting.engine_born.unwrap_or(0),
            front = greeting.front.as_str();
            ""
        );
    }
    if let Some(id) = id {
        state.record_leaving(id, incarnation, greeting.is_leaving);
    }
    for weights in greeting.wanted {
        let wanted = state.wanted.entry(weights.model.clone()).or_default();
        // Greetings may arrive out of order: a version never decreases.
        if weights.version < wanted.version {
            continue;
        }
        if weights.version > wanted.version {
            log::info!(
                event = "weights-wanted",
                model = weights.model.as_str(),
                version = weights.version,
                front = greeting.front.as_str();
                ""
            );
            wanted.version = weights.version;
            wanted.turn_at = None;
        }
        // Counted from the earliest time at which the greeting may have been sent: after a while,
        // the turn may have passed to another engine.
        if let Some(age) = age.filter(|_| weights.is_turn) {
            wanted.turn_at = wanted.turn_at.max(Some(now.since(age)));
        }
    }
}
