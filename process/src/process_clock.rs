use {
    pitchhitch_core::time::Micros,
    rustix::time::{clock_gettime, ClockId},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Reads a clock, as the time since a fixed moment.
pub type ClockSource = fn() -> Duration;

/// Monotonic clock of one process: it starts at zero and keeps advancing while the box is
/// suspended.
///
/// `CLOCK_MONOTONIC` stops during suspension: after ten seconds of it, a box would consider
/// its data on keys, weights and leases ten seconds more recent than it is.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    source: ClockSource,
    started_at: Duration,
    incarnation: u64,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> Self {
        ProcessClock::start_with(since_boot)
    }

    /// Starts a clock that reads the given source.
    pub fn start_with(source: ClockSource) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        ProcessClock {
            source,
            started_at: source(),
            incarnation: since_epoch.map_or(1, |d| d.as_micros() as u64),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Micros {
        let elapsed = (self.source)().saturating_sub(self.started_at);
        Micros(elapsed.as_micros() as u64)
    }

    /// Identifies this run of the process: its start time, in microseconds since the Unix epoch.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

fn since_boot() -> Duration {
    let uptime = clock_gettime(ClockId::Boottime);
    Duration::new(uptime.tv_sec as u64, uptime.tv_nsec as u32)
}

/// Seconds since the Unix epoch by the wall clock, for timestamps that people read.
pub fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_secs())
}

/// Converts a duration of the core crate to one of the standard library.
pub fn to_duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
