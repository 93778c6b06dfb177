use crate::time::Micros;

/// Failures in a row after which an endpoint gets no requests for a while.
const EJECT_AFTER: u32 = 3;
/// First time out; it doubles with each further ejection.
const FIRST_TIME_OUT: Micros = Micros::from_secs(2);
/// Longest time out.
const LONGEST_TIME_OUT: Micros = Micros::from_secs(60);
/// Time over which an endpoint that comes back is slowly given its full part.
const SLOW_START: Micros = Micros::from_secs(5);
/// Factor on the estimates of an endpoint that has just come back.
const SLOW_START_PENALTY: f32 = 4.0;

/// Watches one endpoint's failures and takes it out while it keeps failing.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutlierGuard {
    failures: u32,
    ejections: u32,
    out_until: Option<Micros>,
    back_since: Option<Micros>,
}

impl OutlierGuard {
    /// Notes an answered request.
    pub fn succeeded(
        &mut self,
        now: Micros,
    ) {
        self.failures = 0;
        let settled = self.back_since.is_some_and(|t| now.since(t) > SLOW_START);
        if settled {
            self.ejections = 0;
            self.back_since = None;
        }
    }

    /// Notes a failed request; true when the endpoint is taken out by it.
    pub fn failed(
        &mut self,
        now: Micros,
    ) -> bool {
        self.failures += 1;
        if self.failures < EJECT_AFTER || self.is_out(now) {
            return false;
        }
        let doubled = FIRST_TIME_OUT.0 << self.ejections.min(10);
        let time_out = Micros(doubled.min(LONGEST_TIME_OUT.0));
        self.out_until = Some(now + time_out);
        self.back_since = Some(now + time_out);
        self.ejections += 1;
        self.failures = 0;
        true
    }

    /// Whether the endpoint gets no requests now.
    pub fn is_out(
        &self,
        now: Micros,
    ) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Factor on the endpoint's estimates; one when all is well.
    pub fn penalty(
        &self,
        now: Micros,
    ) -> f32 {
        let Some(since) = self.back_since else {
            return 1.0;
        };
        let back_for = now.since(since);
        if back_for >= SLOW_START {
            return 1.0;
        }
        let progress = back_for.0 as f32 / SLOW_START.0 as f32;
        SLOW_START_PENALTY + (1.0 - SLOW_START_PENALTY) * progress
    }
}
