use {
    crate::front::{make_endpoint_room, FrontContext, IdleConnection},
    pitchhitch_core::{
        serving::{EndpointKey, WitnessState},
        time::Micros,
    },
    pitchhitch_http1::{IdleState, TcpConnection},
    pitchhitch_process::to_duration,
    std::time::{Duration, Instant},
};

/// Connect timeout; the request waits meanwhile, and is sent without a witness after it.
const CONNECT_TIMEOUT: Micros = Micros::from_millis(60);
/// Time since the last check up to which a close is put down to the end of the process. Endpoints
/// also close connections that are idle for seconds.
const MAX_CHECK_AGE: Duration = Duration::from_millis(500);

/// An idle connection to an endpoint that was open before a request was sent there on another one.
/// If it is still open when the answer has ended with its connection, the process that sent the
/// answer is running.
#[derive(Debug)]
pub(crate) struct WitnessConnection {
    idle: IdleConnection,
    open_at: Instant,
}

impl WitnessConnection {
    /// A witness on a connection that is open now.
    pub fn new(idle: IdleConnection) -> Self {
        WitnessConnection {
            idle,
            open_at: Instant::now(),
        }
    }

    /// Checks whether it is open.
    pub fn is_open(&mut self) -> bool {
        let is_open = self.idle.connection.idle_state() == IdleState::Reusable;
        if is_open {
            self.open_at = Instant::now();
        }
        is_open
    }

    /// Its state after the end of the answer.
    pub fn state(&mut self) -> WitnessState {
        let is_recent = self.open_at.elapsed() <= MAX_CHECK_AGE;
        match self.idle.connection.idle_state() {
            IdleState::Reusable => WitnessState::Open,
            IdleState::Closed if is_recent => WitnessState::Closed,
            IdleState::Closed | IdleState::UnexpectedData => WitnessState::Missing,
        }
    }

    /// The idle connection, to be used for a request.
    pub fn into_idle(self) -> IdleConnection {
        self.idle
    }
}

/// Opens a witness for a request that is about to be sent to an endpoint whose answers end with
/// their connections. A service without a health path has no other proof.
pub(crate) async fn open_witness(
    front: &FrontContext,
    key: EndpointKey,
) -> Option<WitnessConnection> {
    let address = {
        let mut state = front.state();
        let entry = state.registry.get(key)?;
        let address = entry.address;
        let services = state.config.as_ref().map(|config| &config.services);
        let service = services.and_then(|services| services.get(&entry.service));
        let has_health_path = service.is_some_and(|service| service.health_path.is_some());
        if has_health_path && !state.pool.is_unframed(key) {
            return None;
        }
        if let Some(idle) = state.pool.take(key, front.now()) {
            return Some(WitnessConnection::new(idle));
        }
        address
    };
    make_endpoint_room(front);
    front.metrics.increment("links", "witnesses");
    let connection = TcpConnection::connect(address, to_duration(CONNECT_TIMEOUT)).await;
    let now = front.now();
    let mut state = front.state();
    let idle = state.pool.begin_idle(key, connection.ok()?, None, now);
    Some(WitnessConnection::new(idle))
}
