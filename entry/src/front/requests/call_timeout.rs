use {
    pitchhitch_core::time::Micros, pitchhitch_platform::StoreError,
    pitchhitch_process::to_duration, std::time::Duration,
};

/// Timeout of a call while the store responds. A slow store was seen to take up to 1 s per response
/// for many seconds.
const DEFAULT_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Timeout of the call after the first failure. It doubles with each failure up to the default,
/// so that a slow store can still be read. It starts short because a call sent just before the
/// store recovers is lost and uses up its whole timeout.
const INITIAL_RETRY_TIMEOUT: Micros = Micros::from_millis(400);
/// Maximum number of doublings, which prevents an overflow of the shift.
const MAX_DOUBLINGS: u32 = 4;

/// Delay before the first of the early retries, which doubles with each, and their number.
const FIRST_RETRY_DELAY: Micros = Micros::from_millis(100);
const MAX_EARLY_RETRIES: u32 = 3;

/// Timeout of the calls of one watcher to the platform store, adapted to recent failures.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CallTimeout {
    failures: u32,
}

impl CallTimeout {
    /// Records the outcome of a call.
    pub fn record<T>(
        &mut self,
        outcome: &Result<T, StoreError>,
    ) {
        self.failures = match outcome {
            Err(StoreError::Timeout | StoreError::Unreachable(_) | StoreError::Refused(_)) => {
                self.failures + 1
            }
            _ => 0,
        };
    }

    /// Timeout of the next call.
    pub fn timeout(&self) -> Duration {
        let timeout = match self.failures {
            0 => DEFAULT_TIMEOUT,
            failures => Micros(INITIAL_RETRY_TIMEOUT.0 << (failures - 1).min(MAX_DOUBLINGS))
                .min(DEFAULT_TIMEOUT),
        };
        to_duration(timeout)
    }

    /// Delay before a failed call is repeated; `None` after several failures, when the store is down
    /// rather than one call lost.
    pub fn retry_delay(&self) -> Option<Micros> {
        let is_early = (1..=MAX_EARLY_RETRIES).contains(&self.failures);
        is_early.then(|| Micros(FIRST_RETRY_DELAY.0 << (self.failures - 1)))
    }

    /// Duration of the next long poll. After a failure the store must respond immediately: the
    /// response proves how fresh the keys are, and a long poll sent just before the store recovered
    /// hung for three seconds more.
    pub fn poll_wait(
        &self,
        default_wait: Duration,
    ) -> Duration {
        match self.failures {
            0 => default_wait,
            _ => Duration::ZERO,
        }
    }
}
