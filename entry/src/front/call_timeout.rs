use {
    pitchhitch_core::time::Micros, pitchhitch_platform::StoreError,
    pitchhitch_process::to_duration, std::time::Duration,
};

/// Time limit of a call while the store answers: its answers took up to a second
/// where it was slow, and such a one is slow for many seconds.
const DEFAULT_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Time limit of the call after the first that failed; it doubles up to the usual one, so that
/// a store that is slow is still read. A call that was sent just before the store came back
/// is lost with all of its limit.
const INITIAL_RETRY_TIMEOUT: Micros = Micros::from_millis(400);
/// Doublings that are counted.
const MAX_DOUBLINGS: u32 = 4;

/// How long a watch lets its calls to the platform's store take.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CallTimeout {
    failures: u32,
}

impl CallTimeout {
    /// Notes how a call ended.
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

    /// Limit of the next call.
    pub fn timeout(&self) -> Duration {
        let timeout = match self.failures {
            0 => DEFAULT_TIMEOUT,
            failures => Micros(INITIAL_RETRY_TIMEOUT.0 << (failures - 1).min(MAX_DOUBLINGS)).min(DEFAULT_TIMEOUT),
        };
        to_duration(timeout)
    }

    /// For how long the next question may be held at the store. One that is lost is to
    /// answer at once: that proves how fresh the keys are, and a held question that was sent
    /// just before the store came back hung for three seconds more.
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
