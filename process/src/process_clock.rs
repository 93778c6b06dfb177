use {
    pitchhitch_core::time::Micros,
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The clock of one process: it counts from the start and never goes back.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started: Instant,
    incarnation: u64,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        ProcessClock {
            started: Instant::now(),
            incarnation: since_epoch.map_or(1, |d| d.as_micros() as u64),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }

    /// Start of the process, in microseconds since 1970.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

/// Seconds since 1970, for people.
pub fn wall_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_secs())
}

/// A span of the core as the standard library has it.
pub fn to_duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
