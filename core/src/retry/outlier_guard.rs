use crate::time::Micros;

/// Failures in a row after which an endpoint gets no requests for a while.
const FAILURES_TO_EJECT: u32 = 3;
/// First time out; it doubles with each further ejection.
const BASE_EJECTION_TIME: Micros = Micros::from_secs(2);
/// Longest time out.
const MAX_EJECTION_TIME: Micros = Micros::from_secs(60);
/// Time over which an endpoint that comes back is slowly given its full part.
const SLOW_START_WINDOW: Micros = Micros::from_secs(5);
/// Factor on the estimates of an endpoint that has just come back.
const SLOW_START_PENALTY: f32 = 4.0;

/// Watches one endpoint's failures and takes it out while it keeps failing.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutlierGuard {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Micros>,
    readmitted_at: Option<Micros>,
}

impl OutlierGuard {
    /// Notes an answered request.
    pub fn record_success(
        &mut self,
        now: Micros,
    ) {
        self.failures = 0;
        let recovered = self
            .readmitted_at
            .is_some_and(|t| now.since(t) > SLOW_START_WINDOW);
        if recovered {
            self.ejections = 0;
            self.readmitted_at = None;
        }
    }

    /// Notes a failed request; true when the endpoint is taken out by it.
    pub fn record_failure(
        &mut self,
        now: Micros,
    ) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return false;
        }
        let doubled = BASE_EJECTION_TIME.0 << self.ejections.min(10);
        let ejection_time = Micros(doubled.min(MAX_EJECTION_TIME.0));
        self.ejected_until = Some(now + ejection_time);
        self.readmitted_at = Some(now + ejection_time);
        self.ejections += 1;
        self.failures = 0;
        true
    }

    /// Whether the endpoint gets no requests now.
    pub fn is_ejected(
        &self,
        now: Micros,
    ) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Factor on the endpoint's estimates; one when all is well.
    pub fn penalty(
        &self,
        now: Micros,
    ) -> f32 {
        let Some(since) = self.readmitted_at else {
            return 1.0;
        };
        let since_readmission = now.since(since);
        if since_readmission >= SLOW_START_WINDOW {
            return 1.0;
        }
        let progress = since_readmission.0 as f32 / SLOW_START_WINDOW.0 as f32;
        SLOW_START_PENALTY + (1.0 - SLOW_START_PENALTY) * progress
    }
}
