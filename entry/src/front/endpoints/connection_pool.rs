use {
    pitchhitch_core::{serving::EndpointKey, time::Micros},
    pitchhitch_http1::{IdleState, TcpConnection},
    std::collections::{HashMap, HashSet},
};

/// Keep-alive time of an idle connection if the endpoint does not state one.
const DEFAULT_KEEP_ALIVE_TIMEOUT: Micros = Micros::from_secs(4);
/// Subtracted from the keep-alive time, so that no request is sent while the endpoint closes the
/// connection.
const KEEP_ALIVE_MARGIN: Micros = Micros::from_millis(700);
const MAX_IDLE_PER_ENDPOINT: usize = 64;

/// A connection to an endpoint on which no request is running.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    pub connection: TcpConnection,
    idle_since: Micros,
    usable_until: Micros,
}

/// Idle connections to endpoints, to be reused.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<EndpointKey, Vec<IdleConnection>>,
    /// Endpoints whose latest answer ended with its connection.
    unframed: HashSet<EndpointKey>,
    /// Latest keep-alive time that each endpoint stated.
    keep_alive_timeouts: HashMap<EndpointKey, Micros>,
}

impl ConnectionPool {
    /// Takes a usable connection out of the pool, the most recently used one first.
    pub fn take(
        &mut self,
        key: EndpointKey,
        now: Micros,
    ) -> Option<IdleConnection> {
        self.take_matching(key, now, |_| true)
    }

    /// Takes a usable connection that has been idle since before `sent_at`.
    pub fn take_older(
        &mut self,
        key: EndpointKey,
        sent_at: Micros,
        now: Micros,
    ) -> Option<IdleConnection> {
        self.take_matching(key, now, |idle| idle.idle_since < sent_at)
    }

    fn take_matching(
        &mut self,
        key: EndpointKey,
        now: Micros,
        matches: impl Fn(&IdleConnection) -> bool,
    ) -> Option<IdleConnection> {
        let idle = self.idle.get_mut(&key)?;
        while let Some(at) = idle.iter().rposition(&matches) {
            let mut candidate = idle.remove(at);
            let is_expired = now >= candidate.usable_until;
            if !is_expired && candidate.connection.idle_state() == IdleState::Reusable {
                return Some(candidate);
            }
        }
        None
    }

    /// Records whether the latest answer of an endpoint ended with its connection.
    pub fn record_framing(
        &mut self,
        key: EndpointKey,
        is_unframed: bool,
    ) {
        match is_unframed {
            true => self.unframed.insert(key),
            false => self.unframed.remove(&key),
        };
    }

    /// Whether the latest answer of an endpoint ended with its connection.
    pub fn is_unframed(
        &self,
        key: EndpointKey,
    ) -> bool {
        self.unframed.contains(&key)
    }

    /// Whether the pool has an unexpired connection to an endpoint. Only `take` checks the socket.
    pub fn has_open(
        &self,
        key: EndpointKey,
        now: Micros,
    ) -> bool {
        let idle = self.idle.get(&key);
        idle.is_some_and(|idle| idle.iter().any(|candidate| now < candidate.usable_until))
    }

    /// A connection that is idle from now on, after an answer with the given keep-alive time if that
    /// stated one.
    pub fn begin_idle(
        &mut self,
        key: EndpointKey,
        connection: TcpConnection,
        keep_alive_timeout: Option<Micros>,
        now: Micros,
    ) -> IdleConnection {
        if let Some(timeout) = keep_alive_timeout {
            self.keep_alive_timeouts.insert(key, timeout);
        }
        let latest = self.keep_alive_timeouts.get(&key).copied();
        let presumed = latest.map_or(DEFAULT_KEEP_ALIVE_TIMEOUT, |latest| {
            latest.min(DEFAULT_KEEP_ALIVE_TIMEOUT)
        });
        let timeout = keep_alive_timeout.unwrap_or(presumed);
        IdleConnection {
            connection,
            idle_since: now,
            usable_until: now + timeout.since(KEEP_ALIVE_MARGIN),
        }
    }

    /// Adds a connection that is idle from now on.
    pub fn put(
        &mut self,
        key: EndpointKey,
        connection: TcpConnection,
        keep_alive_timeout: Option<Micros>,
        now: Micros,
    ) {
        let idle = self.begin_idle(key, connection, keep_alive_timeout, now);
        self.put_back(key, idle, now);
    }

    /// Adds a connection that has been idle. It is closed if it has expired, the pool has too many to
    /// this endpoint or unread bytes are left on it.
    pub fn put_back(
        &mut self,
        key: EndpointKey,
        mut returned: IdleConnection,
        now: Micros,
    ) {
        let idle = self.idle.entry(key).or_default();
        let has_room = idle.len() < MAX_IDLE_PER_ENDPOINT;
        let is_expired = now >= returned.usable_until;
        if !has_room || is_expired || !returned.connection.buffer().is_empty() {
            return;
        }
        returned.connection.shrink_buffer();
        let at = idle.partition_point(|known| known.idle_since <= returned.idle_since);
        idle.insert(at, returned);
    }

    /// Closes expired connections, and all to endpoints for which `is_known` returns false.
    pub fn remove_expired(
        &mut self,
        now: Micros,
        is_known: impl Fn(EndpointKey) -> bool,
    ) {
        self.idle.retain(|key, idle| {
            idle.retain(|candidate| now < candidate.usable_until);
            !idle.is_empty() && is_known(*key)
        });
        self.unframed.retain(|key| is_known(*key));
        self.keep_alive_timeouts.retain(|key, _| is_known(*key));
    }

    /// Closes the connection that has been idle longest; false if there is none.
    pub fn close_oldest(&mut self) -> bool {
        let idle = self.idle.iter();
        let oldest = idle.filter_map(|(key, idle)| Some((idle.first()?.idle_since, *key)));
        let Some((_, key)) = oldest.min() else {
            return false;
        };
        let idle = self.idle.get_mut(&key);
        idle.is_some_and(|idle| {
            idle.remove(0);
            true
        })
    }

    /// Closes all connections to an endpoint.
    pub fn close_all(
        &mut self,
        key: EndpointKey,
    ) {
        self.idle.remove(&key);
    }
}
