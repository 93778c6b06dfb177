use {
    crate::front::FrontContext,
    pitchhitch_core::{serving::EndpointKey, time::Micros},
    pitchhitch_http1::{IdleState, TcpConnection},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::io::ErrorKind,
};

/// Connect timeout. A box that is disconnected or without power does not respond at all, and that
/// does not prove that the endpoint has exited.
const PROBE_TIMEOUT: Micros = Micros::from_millis(120);
/// Time for which a new connection must stay open: an endpoint that is about to exit may still
/// accept one.
const MIN_OPEN_TIME: Micros = Micros::from_millis(25);
/// Interval between two checks for the outcome of another request's probe.
const POLL_INTERVAL: Micros = Micros::from_millis(4);
/// How long an exit is assumed for further requests to the same incarnation.
const EXITED_TTL: Micros = Micros::from_secs(2);
/// How long an endpoint is assumed to be running. It covers only requests that are interrupted at
/// the same moment, since the endpoint may exit a moment later.
const RUNNING_TTL: Micros = Micros::from_millis(60);

/// Outcome of a connection attempt that shows whether an endpoint has exited.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExitProbe {
    incarnation: u32,
    started_at: Micros,
    /// `None` while the probe is running.
    has_exited: Option<bool>,
}

impl ExitProbe {
    /// Whether the outcome is valid for a run of this incarnation that was sent at `sent_at` and is
    /// interrupted now. One that was sent after the endpoint had exited reached its next incarnation,
    /// which is not known here yet.
    fn applies_to(
        &self,
        incarnation: u32,
        sent_at: Micros,
        now: Micros,
    ) -> bool {
        let limit = match self.has_exited {
            Some(false) => RUNNING_TTL,
            Some(true) | None => EXITED_TTL,
        };
        self.incarnation == incarnation
            && sent_at <= self.started_at
            && now.since(self.started_at) < limit
    }
}

/// Whether an endpoint that has just closed a connection during a request has exited, i.e. refuses
/// connections. A lost connection alone proves nothing: running endpoints also reset connections
/// and truncate responses. Requests that are interrupted together share one probe.
pub(crate) async fn has_exited(
    front: &FrontContext,
    key: EndpointKey,
    incarnation: u32,
    sent_at: Micros,
) -> bool {
    let now = front.now();
    let (has_restarted, is_probed) = {
        let state = front.state();
        let entry = state.registry.get(key);
        let probe = state.exit_probes.get(&key);
        (
            entry.is_some_and(|entry| entry.incarnation.ended != incarnation),
            probe.is_some_and(|probe| probe.applies_to(incarnation, sent_at, now)),
        )
    };
    match (has_restarted, is_probed) {
        // The endpoint list, or the agent of the endpoint, has already reported a restart.
        (true, _) => true,
        (false, true) => await_outcome(front, key).await,
        (false, false) => run_probe(front, key, incarnation).await,
    }
}

async fn await_outcome(
    front: &FrontContext,
    key: EndpointKey,
) -> bool {
    let limit = PROBE_TIMEOUT + PROBE_TIMEOUT;
    let started_at = front.now();
    loop {
        let outcome = front
            .state()
            .exit_probes
            .get(&key)
            .map(|probe| probe.has_exited);
        match outcome {
            Some(None) if front.now().since(started_at) < limit => {}
            Some(Some(has_exited)) => return has_exited,
            Some(None) | None => return false,
        }
        Timer::after(to_duration(POLL_INTERVAL)).await;
    }
}

async fn run_probe(
    front: &FrontContext,
    key: EndpointKey,
    incarnation: u32,
) -> bool {
    let started_at = front.now();
    let probe = |has_exited| ExitProbe {
        incarnation,
        started_at,
        has_exited,
    };
    front.state().exit_probes.insert(key, probe(None));
    let has_exited = refuses_connections(front, key).await;
    front
        .state()
        .exit_probes
        .insert(key, probe(Some(has_exited)));
    has_exited
}

async fn refuses_connections(
    front: &FrontContext,
    key: EndpointKey,
) -> bool {
    let state = probe_port(front, key).await;
    matches!(state, PortState::Refusing | PortState::Closing)
}

/// What happens to a new connection to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PortState {
    /// It stays open.
    Open,
    /// It is opened, and closed soon after.
    Closing,
    /// It is refused.
    Refusing,
    /// It is neither opened nor refused.
    Unknown,
}

/// Opens a connection, which is kept for a request if it is still open after `MIN_OPEN_TIME`.
async fn probe_port(
    front: &FrontContext,
    key: EndpointKey,
) -> PortState {
    let Some(address) = front.state().registry.get(key).map(|entry| entry.address) else {
        return PortState::Unknown;
    };
    front.metrics.increment("links", "probes");
    let mut connection = match TcpConnection::connect(address, to_duration(PROBE_TIMEOUT)).await {
        Ok(connection) => connection,
        Err(error) if is_refusal(error.kind()) => return PortState::Refusing,
        Err(_) => return PortState::Unknown,
    };
    Timer::after(to_duration(MIN_OPEN_TIME)).await;
    if connection.idle_state() != IdleState::Reusable {
        return PortState::Closing;
    }
    let now = front.now();
    front.state().pool.put(key, connection, None, now);
    PortState::Open
}

fn is_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}
