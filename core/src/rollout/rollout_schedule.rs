use super::RolloutRecord;

/// Share of the ordered time, in percent, for which only a small share of the requests goes to the
/// target version. The rest is for moving all of them, and for an order that was noticed late.
const COMPARE_PERCENT: u64 = 75;
/// Share of the ordered time, in percent, after which all requests go to the target version. The
/// ramp is short: while it lasts, the bound on requests to a bad version is used up quickly.
const SHIFTED_PERCENT: u64 = 82;
/// Share of the ordered time, in percent, until which the end waits for requests that cannot be
/// repeated and still run at the endpoints that stop.
const FINISH_PERCENT: u64 = 90;

/// Stage of a running roll-out. Answers are compared within one stage: the ramp sends most requests
/// to the target, and a moment in which all endpoints are slow would count against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutStage {
    /// A small, constant share of the requests goes to the target version.
    Comparison,
    /// The share rises.
    Ramp,
}

/// Stages of a running roll-out by time, on the store's monotonic clock, in milliseconds. All
/// fronts go by the same clock, so that they move their requests together without messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutSchedule {
    /// Start of the ramp.
    pub shift_at: u64,
    /// End of the ramp: the roll-out can be done from here on.
    pub shifted_at: u64,
    /// Until when the end waits for running requests.
    pub finish_by: u64,
    /// End of the ordered time.
    pub deadline: u64,
}

impl RolloutSchedule {
    /// Schedule of a roll-out.
    pub fn of(record: &RolloutRecord) -> Self {
        let duration_ms = record.order.duration.as_millis();
        let at = |percent: u64| {
            let elapsed = duration_ms.saturating_mul(percent) / 100;
            record.started_ms.saturating_add(elapsed)
        };
        RolloutSchedule {
            shift_at: at(COMPARE_PERCENT),
            shifted_at: at(SHIFTED_PERCENT),
            finish_by: at(FINISH_PERCENT),
            deadline: at(100),
        }
    }

    /// Stage at this time.
    pub fn stage(
        &self,
        store_ms: u64,
    ) -> RolloutStage {
        match store_ms < self.shift_at {
            true => RolloutStage::Comparison,
            false => RolloutStage::Ramp,
        }
    }

    /// Share of the requests that the ramp has moved by now; `None` before the ramp.
    pub fn shifted_share(
        &self,
        store_ms: u64,
    ) -> Option<f64> {
        let elapsed = store_ms.checked_sub(self.shift_at)? as f64;
        let length = (self.shifted_at - self.shift_at).max(1) as f64;
        Some((elapsed / length).min(1.0))
    }
}
