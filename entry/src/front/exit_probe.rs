use {
    super::FrontContext,
    pitchhitch_core::{serving::EndpointKey, time::Micros},
    pitchhitch_http1::{IdleState, TcpConnection},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::io::ErrorKind,
};

/// Longest wait for a connection: a box that is cut off or without power says nothing,
/// and that proves no end.
const PROBE_TIMEOUT: Micros = Micros::from_millis(120);
/// Time for which a new connection must stay open: an endpoint that is about to end may
/// still take one.
const MIN_OPEN_TIME: Micros = Micros::from_millis(25);
/// Pause between two looks at what another request finds out.
const POLL_INTERVAL: Micros = Micros::from_millis(4);
/// Time for which an end holds for further requests of the same life.
const EXITED_TTL: Micros = Micros::from_secs(2);
/// Time for which it holds that an endpoint goes on: for what broke off in the same moment.
/// It may end a moment later.
const RUNNING_TTL: Micros = Micros::from_millis(60);

/// What is known of whether an endpoint has ended, by asking for a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExitProbe {
    incarnation: u32,
    started_at: Micros,
    has_exited: Option<bool>,
}

impl ExitProbe {
    /// Whether it answers for a run of this life that broke off now.
    fn applies_to(
        &self,
        incarnation: u32,
        now: Micros,
    ) -> bool {
        let limit = match self.has_exited {
            Some(false) => RUNNING_TTL,
            Some(true) | None => EXITED_TTL,
        };
        self.incarnation == incarnation && now.since(self.started_at) < limit
    }
}

/// Whether the endpoint that has just broken a connection off has ended: nobody takes
/// connections there. A broken connection alone shows nothing, as links are reset and
/// answers break off at endpoints that go on. All requests that it breaks off together
/// share one question.
pub(super) async fn has_exited(
    front: &FrontContext,
    key: EndpointKey,
    incarnation: u32,
) -> bool {
    let now = front.now();
    let (is_replaced, is_probed) = {
        let state = front.state();
        let entry = state.book.get(key);
        let probe = state.ends.get(&key);
        (
            entry.is_some_and(|entry| entry.incarnation.ended != incarnation),
            probe.is_some_and(|probe| probe.applies_to(incarnation, now)),
        )
    };
    match (is_replaced, is_probed) {
        // It has started again, as the list or the process beside it told first.
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
        let outcome = front.state().ends.get(&key).map(|probe| probe.has_exited);
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
    front.state().ends.insert(key, probe(None));
    let has_exited = refuses_connections(front, key).await;
    front.state().ends.insert(key, probe(Some(has_exited)));
    has_exited
}

async fn refuses_connections(
    front: &FrontContext,
    key: EndpointKey,
) -> bool {
    let Some(address) = front.state().book.get(key).map(|entry| entry.address) else {
        return false;
    };
    front.metrics.count("links", "probes");
    let mut connection = match TcpConnection::connect(address, to_duration(PROBE_TIMEOUT)).await {
        Ok(connection) => connection,
        Err(error) => return is_refusal(error.kind()),
    };
    Timer::after(to_duration(MIN_OPEN_TIME)).await;
    let is_open = connection.idle_state() == IdleState::Reusable;
    if is_open {
        let now = front.now();
        front.state().pool.put(key, connection, None, now);
    }
    !is_open
}

fn is_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}
