use {
    rustix::{
        io::Errno,
        process::{getrlimit, Resource},
    },
    std::{
        io::Error,
        sync::atomic::{AtomicUsize, Ordering},
    },
};

/// Largest number of descriptors reserved for files, listeners and calls to the platform.
const MAX_RESERVED: usize = 256;
/// Fraction of the descriptors that is reserved at most.
const RESERVED_FRACTION: usize = 4;
/// Fraction of the connections up to which callers are accepted; the rest is for endpoints.
const CALLER_EIGHTHS: usize = 7;
/// Fraction of the connections that a listener for small requests holds at most.
const SERVICE_FRACTION: usize = 32;
/// Largest and smallest number of connections of such a listener.
const MAX_SERVICE_CONNECTIONS: usize = 256;
const MIN_SERVICE_CONNECTIONS: usize = 4;

/// Open connections of this process.
static OPEN_CONNECTIONS: AtomicUsize = AtomicUsize::new(0);

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(());

impl OpenConnection {
    pub(crate) fn start() -> Self {
        OPEN_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
        OpenConnection(())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        OPEN_CONNECTIONS.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Number of open connections of this process, in both directions.
pub fn open_connections() -> usize {
    OPEN_CONNECTIONS.load(Ordering::Relaxed)
}

/// How many connections a process may hold, by its limit on descriptors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCapacity {
    total: usize,
}

impl ConnectionCapacity {
    /// Capacity of a process that may open this many descriptors.
    pub fn for_descriptors(limit: usize) -> Self {
        let reserved = (limit / RESERVED_FRACTION).min(MAX_RESERVED);
        ConnectionCapacity {
            total: limit - reserved,
        }
    }

    /// Capacity of this process, by the limit of the operating system and the configured one.
    pub fn of_process(configured: Option<usize>) -> Self {
        let limit = getrlimit(Resource::Nofile).current;
        let limit = limit.and_then(|limit| usize::try_from(limit).ok());
        let limit = limit.unwrap_or(usize::MAX);
        ConnectionCapacity::for_descriptors(configured.map_or(limit, |c| c.min(limit)))
    }

    /// Number of connections up to which requests open further ones to endpoints.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Number of connections up to which callers are accepted.
    pub fn for_callers(&self) -> usize {
        self.total / 8 * CALLER_EIGHTHS
    }

    /// Number of connections that a listener for small requests holds at most.
    pub fn for_service(&self) -> usize {
        let share = self.total / SERVICE_FRACTION;
        share.clamp(MIN_SERVICE_CONNECTIONS, MAX_SERVICE_CONNECTIONS)
    }
}

/// Whether a connection failed because this process or box has no descriptors, ports or memory left,
/// which says nothing about the peer.
pub fn is_local_failure(error: &Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(
        errno,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL)
    )
}
