use crate::time::Micros;

/// Number of consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; it doubles with each further one.
const BASE_EJECTION_TIME: Micros = Micros::from_secs(2);
/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Micros = Micros::from_secs(60);
/// Time after an ejection during which the endpoint is gradually given its full load.
const SLOW_START_WINDOW: Micros = Micros::from_secs(5);
/// Factor on the cost estimates of an endpoint right after its ejection.
const SLOW_START_PENALTY: f32 = 4.0;

/// Outlier detection for one endpoint: ejects it temporarily after repeated failures.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutlierGuard {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Micros>,
    readmitted_at: Option<Micros>,
}

impl OutlierGuard {
    /// Records a successful request.
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

    /// Records a failed request; returns true if this ejects the endpoint.
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

    /// Whether the endpoint is ejected, that is, receives no requests.
    pub fn is_ejected(
        &self,
        now: Micros,
    ) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Factor on the cost estimates of the endpoint; one outside the slow start.
    pub fn penalty(
        &self,
        now: Micros,
    ) -> f32 {
        let Some(readmitted_at) = self.readmitted_at else {
            return 1.0;
        };
        let since_readmission = now.since(readmitted_at);
        if since_readmission >= SLOW_START_WINDOW {
            return 1.0;
        }
        let progress = since_readmission.0 as f32 / SLOW_START_WINDOW.0 as f32;
        SLOW_START_PENALTY + (1.0 - SLOW_START_PENALTY) * progress
    }
}
