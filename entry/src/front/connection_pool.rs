use {
    pitchhitch_core::{serving::EndpointKey, time::Micros},
    pitchhitch_http1::{IdleState, TcpConnection},
    std::collections::HashMap,
};

/// Time for which an unused connection is kept where the endpoint does not say.
const DEFAULT_KEEP_ALIVE: Micros = Micros::from_secs(4);
/// Time before the endpoint's own limit at which a connection is not used any
/// more, so that a request does not cross its end.
const KEEP_ALIVE_MARGIN: Micros = Micros::from_millis(700);
/// Unused connections that are kept for one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;

#[derive(Debug)]
struct IdleConnection {
    connection: TcpConnection,
    usable_until: Micros,
}

/// Connections to endpoints that have no request on them.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<EndpointKey, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes a connection that can be used, the one used last first.
    pub fn take(
        &mut self,
        key: EndpointKey,
        now: Micros,
    ) -> Option<TcpConnection> {
        let idle = self.idle.get_mut(&key)?;
        while let Some(mut candidate) = idle.pop() {
            if now < candidate.usable_until && candidate.connection.idle_state() == IdleState::Reusable {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Whether a connection to an endpoint is open that can be used.
    pub fn has_open(
        &self,
        key: EndpointKey,
        now: Micros,
    ) -> bool {
        let idle = self.idle.get(&key);
        idle.is_some_and(|idle| idle.iter().any(|candidate| now < candidate.usable_until))
    }

    /// Keeps a connection whose request is over.
    pub fn put(
        &mut self,
        key: EndpointKey,
        mut connection: TcpConnection,
        keep_alive: Option<Micros>,
        now: Micros,
    ) {
        let idle = self.idle.entry(key).or_default();
        if idle.len() >= MAX_IDLE_PER_ENDPOINT || !connection.buffer().is_empty() {
            return;
        }
        connection.shrink_buffer();
        let usable_for = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).since(KEEP_ALIVE_MARGIN);
        idle.push(IdleConnection {
            connection,
            usable_until: now + usable_for,
        });
    }

    /// Closes what is too old, and all for endpoints that `is_known` denies.
    pub fn remove_expired(
        &mut self,
        now: Micros,
        is_known: impl Fn(EndpointKey) -> bool,
    ) {
        self.idle.retain(|key, idle| {
            idle.retain(|candidate| now < candidate.usable_until);
            !idle.is_empty() && is_known(*key)
        });
    }

    /// Closes all connections to an endpoint.
    pub fn close_all(
        &mut self,
        key: EndpointKey,
    ) {
        self.idle.remove(&key);
    }
}
