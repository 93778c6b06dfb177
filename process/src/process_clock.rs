use {
    pitchhitch_core::time::Micros,
    rustix::time::{clock_gettime, ClockId},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// What a clock shows, counted from some fixed moment.
pub type ClockSource = fn() -> Duration;

/// The clock of one process: it counts from the start, never goes back, and goes on while
/// the box is suspended.
///
/// By the steady clock, which stands still then, a box that was suspended for ten seconds
/// would take what it knows of keys, weights and leases for ten seconds younger than it is.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    read: ClockSource,
    started: Duration,
    incarnation: u64,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> Self {
        ProcessClock::start_with(since_boot)
    }

    /// Starts a clock by another one.
    pub fn start_with(read: ClockSource) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        ProcessClock {
            read,
            started: read(),
            incarnation: since_epoch.map_or(1, |d| d.as_micros() as u64),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Micros {
        let elapsed = (self.read)().saturating_sub(self.started);
        Micros(elapsed.as_micros() as u64)
    }

    /// Start of the process, in microseconds since 1970.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    Duration::new(read.tv_sec as u64, read.tv_nsec as u32)
}

/// Seconds since 1970, for people.
pub fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_secs())
}

/// A span of the core as the standard library has it.
pub fn to_duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
