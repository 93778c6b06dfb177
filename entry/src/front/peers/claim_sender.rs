use {
    super::digest_receiver::engine_at,
    crate::front::FrontContext,
    pitchhitch_core::serving::{ClaimAnswer, StoredPart},
    pitchhitch_wire::engine_agent::{AgentDatagram, DatagramSocket, EngineDigest},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Interval at which claims that are over are released.
const RELEASE_INTERVAL: Duration = Duration::from_millis(250);

/// Sends the claims of the parts that requests are to save, and releases those that are over.
pub(crate) async fn send_claims(
    front: Rc<FrontContext>,
    socket: DatagramSocket,
) {
    loop {
        for (to, datagram) in due_calls(&front) {
            // An unanswered claim is not used, and one that is not released expires.
            if let Err(error) = socket.send(&datagram, to).await {
                let error = error.to_string();
                log::debug!(event = "claims-unsent", error = error.as_str(); "");
            }
        }
        front.claims_due.wait(RELEASE_INTERVAL).await;
    }
}

fn due_calls(front: &FrontContext) -> Vec<(SocketAddr, AgentDatagram)> {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let stores = &state.kv_store_directory;
    let complete_epoch = |part: &StoredPart| stores.complete_epoch(part);
    let calls = state.save_claims.take_due(complete_epoch, now).into_iter();
    calls
        .map(|(to, call)| (to, AgentDatagram::Claims(call)))
        .collect()
}

/// Applies an agent's answer to claims.
pub(super) fn apply_claims(
    front: &FrontContext,
    answer: &ClaimAnswer,
    from: SocketAddr,
) {
    let answered = front.state().save_claims.record_answer(answer, from);
    if let Some(number) = answered {
        front.claim_waits.notify(number);
    }
}

/// Reports this front's claims again to an agent that has restarted.
pub(super) fn restore_claims(
    front: &FrontContext,
    digest: &EngineDigest,
) {
    let now = front.now();
    let mut guard = front.state();
    let state = &mut *guard;
    let entry = engine_at(state, digest.engine).and_then(|key| state.registry.get(key));
    let known = entry.and_then(|entry| entry.incarnation.digest);
    if known.is_some_and(|known| known.incarnation != digest.incarnation) {
        let agent = SocketAddr::new(digest.engine.ip(), front.settings.agent_port);
        state.save_claims.restore_at(agent, now);
        front.claims_due.wake();
    }
}
