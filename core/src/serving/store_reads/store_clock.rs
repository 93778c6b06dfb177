use crate::time::Micros;

/// Validity of a bound: two monotonic clocks drift apart by some milliseconds in this time.
const BOUND_TTL: Micros = Micros::from_secs(30);
/// Resolution of the store's clock, which reports whole milliseconds.
const CLOCK_RESOLUTION_US: i64 = 1_000;

/// Maps the monotonic clock of the platform store to the local one.
///
/// A response proves the content at the time at which the store sent it, not only at the time of
/// the request, which matters for long polls. Earlier responses give a lower bound for the local
/// time of a response: the store's clock cannot have shown their time before they were requested.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    /// Greatest lower bound, in microseconds, of the local time at which the store's clock showed
    /// zero, and the start of the interval over which it is collected.
    current: Option<(i64, Micros)>,
    /// The bound of the previous interval.
    previous: Option<i64>,
}

impl StoreClock {
    /// Earliest local time at which the store can have sent a response, which proves the content at
    /// that time: no earlier than the request was sent and no later than the response arrived.
    pub fn earliest_response_time(
        &mut self,
        sent_at: Micros,
        store_ms: Option<u64>,
        now: Micros,
    ) -> Micros {
        let Some(store_us) = store_ms.and_then(|ms| i64::try_from(ms).ok()?.checked_mul(1_000))
        else {
            return sent_at;
        };
        let estimate = self.bound(now).map(|zero| zero.saturating_add(store_us));
        self.record_bound(sent_at.0 as i64 - store_us - CLOCK_RESOLUTION_US, now);
        let answered_at = Micros(u64::try_from(estimate.unwrap_or(0)).unwrap_or(0));
        answered_at.max(sent_at).min(now)
    }

    /// Discards all bounds, as the store's clock may have restarted.
    pub fn reset(&mut self) {
        *self = StoreClock::default();
    }

    fn bound(
        &self,
        now: Micros,
    ) -> Option<i64> {
        let fresh = |at: Micros| now.since(at) <= BOUND_TTL + BOUND_TTL;
        let (current, since) = self.current.filter(|(_, since)| fresh(*since))?;
        let previous = self.previous.filter(|_| now.since(since) <= BOUND_TTL);
        Some(previous.map_or(current, |previous| previous.max(current)))
    }

    fn record_bound(
        &mut self,
        zero: i64,
        now: Micros,
    ) {
        self.current = match self.current {
            Some((known, since)) if now.since(since) <= BOUND_TTL => Some((known.max(zero), since)),
            known => {
                let recent = known.filter(|(_, since)| now.since(*since) <= BOUND_TTL + BOUND_TTL);
                self.previous = recent.map(|(zero, _)| zero);
                Some((zero, now))
            }
        };
    }
}
