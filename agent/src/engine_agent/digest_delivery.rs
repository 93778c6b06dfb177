use {
    super::{bundle_digests, EngineAgentContext},
    pitchhitch_core::{
        dissemination::{DeliveryPlan, DomainDelivery},
        time::Micros,
    },
    pitchhitch_wire::{
        codec::encode_body,
        engine_agent::{
            AgentDatagram, BundledDigest, EncodedDigest, EngineDigest, FrontDatagram, GreetingEcho,
            RelayedDigest,
        },
    },
    std::net::SocketAddr,
};

/// Accepts a digest that the agent of another engine sends about its own engine, to be passed on.
pub(super) fn accept_relayed(
    agent: &EngineAgentContext,
    digest: RelayedDigest,
    from: SocketAddr,
) {
    let is_own = digest.key.engine.ip() == from.ip();
    let outcome = if is_own { "accepted" } else { "refused" };
    agent.state().metrics.increment("relayed", outcome);
    if !is_own {
        return;
    }
    let is_urgent = digest.is_urgent;
    agent.state().relay_queue.push(digest, agent.now());
    if is_urgent {
        agent.digest_due.wake();
    }
}

/// Passes digests of other engines on to the fronts of this failure domain.
pub(super) async fn pass_on(
    agent: &EngineAgentContext,
    relayed: &[RelayedDigest],
    now: Micros,
) {
    if relayed.is_empty() {
        return;
    }
    let domain = &agent.settings.failure_domain;
    let fronts = agent.state().fronts.active_in(domain, now);
    for front in fronts {
        send_bundles(agent, front, None, relayed).await;
    }
}

/// Sends a digest to fronts as planned: directly, together with digests that are passed on, or by
/// relays in failure domains with many fronts. A lost digest makes a front's knowledge less fresh,
/// never wrong.
pub(super) async fn deliver_digest(
    agent: &EngineAgentContext,
    digest: &EngineDigest,
    plan: &DeliveryPlan<SocketAddr>,
    passed_on: &[RelayedDigest],
) {
    let now = agent.now();
    let domain = agent.settings.failure_domain.as_str();
    if !plan.relayed.is_empty() {
        send_to_relays(agent, digest, &plan.relayed).await;
    }
    if passed_on.is_empty() {
        return send_digest(agent, digest, &plan.direct).await;
    }
    let Ok(encoded) = EncodedDigest::new(digest) else {
        return;
    };
    let neighbours = agent.state().fronts.active_in(domain, now);
    for front in &plan.direct {
        let echo = echo_for(agent, digest, *front);
        let relayed = match neighbours.binary_search(front) {
            Ok(_) => passed_on,
            Err(_) => &[],
        };
        send_bundles(agent, *front, Some(encoded.to_bundled(echo)), relayed).await;
    }
}

/// Sends a digest directly to fronts. It is encoded once, with an echo of the latest greeting added
/// for each front.
pub(super) async fn send_digest(
    agent: &EngineAgentContext,
    digest: &EngineDigest,
    fronts: &[SocketAddr],
) {
    let Ok(encoded) = EncodedDigest::new(digest) else {
        return;
    };
    for front in fronts {
        if let Ok(body) = encoded.with_echo(echo_for(agent, digest, *front)) {
            send_body(agent, body, *front, "sent").await;
        }
    }
}

/// Sends a digest to the relays of failure domains. What fronts read from the platform store is
/// left out: the agents of a domain hear of it from the same fronts.
async fn send_to_relays(
    agent: &EngineAgentContext,
    digest: &EngineDigest,
    deliveries: &[DomainDelivery<SocketAddr>],
) {
    let digest = EngineDigest {
        proofs: Vec::new(),
        ..digest.clone()
    };
    let Ok(encoded) = EncodedDigest::new(&digest) else {
        return;
    };
    let needs_echoes = !digest.stores.is_empty() || !digest.rates.is_empty();
    let is_urgent = !digest.suspects.is_empty();
    for delivery in deliveries {
        let echoes = delivery.receivers.iter().filter(|_| needs_echoes);
        let echoes = echoes.filter_map(|front| Some((*front, echo_for(agent, &digest, *front)?)));
        let relayed = encoded.to_relayed(is_urgent, echoes.collect());
        let Ok(body) = encode_body(&AgentDatagram::Relay(relayed)) else {
            return;
        };
        for relay in &delivery.relays {
            send_body(agent, body.clone(), *relay, "relayed").await;
        }
    }
}

fn echo_for(
    agent: &EngineAgentContext,
    digest: &EngineDigest,
    front: SocketAddr,
) -> Option<GreetingEcho> {
    let active_fronts = digest.fronts as usize;
    let mut state = agent.state();
    state.fronts.echo(front, active_fronts, agent.now())
}

async fn send_bundles(
    agent: &EngineAgentContext,
    front: SocketAddr,
    own: Option<BundledDigest>,
    relayed: &[RelayedDigest],
) {
    for bundle in bundle_digests(front, own, relayed) {
        if let Ok(body) = encode_body(&FrontDatagram::Bundle(bundle)) {
            send_body(agent, body, front, "passed-on").await;
        }
    }
}

async fn send_body(
    agent: &EngineAgentContext,
    body: Vec<u8>,
    to: SocketAddr,
    kind: &'static str,
) {
    agent.state().metrics.increment("digests", kind);
    if let Err(error) = agent.socket.send_body(body, to).await {
        let error = error.to_string();
        log::debug!(event = "digest-failed", error = error.as_str(); "");
    }
}
