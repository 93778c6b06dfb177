use {
    pitchhitch_core::time::Micros, pitchhitch_platform::StoreError,
    pitchhitch_process::to_duration, std::time::Duration,
};

/// Time limit of a call while the store answers: its answers took up to a second
/// where it was slow, and such a one is slow for many seconds.
const USUAL_LIMIT: Micros = Micros::from_millis(1_500);
/// Time limit of the call after the first that failed; it doubles up to the usual one, so that
/// a store that is slow is still read. A call that was sent just before the store came back
/// is lost with all of its limit.
const LOST_LIMIT: Micros = Micros::from_millis(400);
/// Doublings that are counted.
const DOUBLINGS: u32 = 4;

/// How long a watch lets its calls to the platform's store take.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CallLimit {
    failures: u32,
}

impl CallLimit {
    /// Notes how a call ended.
    pub fn note<T>(
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
    pub fn next(&self) -> Duration {
        let limit = match self.failures {
            0 => USUAL_LIMIT,
            failures => Micros(LOST_LIMIT.0 << (failures - 1).min(DOUBLINGS)).min(USUAL_LIMIT),
        };
        to_duration(limit)
    }

    /// For how long the next question may be held at the store. One that is lost is to
    /// answer at once: that proves how fresh the keys are, and a held question that was sent
    /// just before the store came back hung for three seconds more.
    pub fn hold(
        &self,
        usual: Duration,
    ) -> Duration {
        match self.failures {
            0 => usual,
            _ => Duration::ZERO,
        }
    }
}
