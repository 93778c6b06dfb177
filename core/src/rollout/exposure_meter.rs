/// Share of the allowed exposure, in percent, that is used to compare the versions. The rest is for
/// the ramp at the end.
const COMPARE_USE_PERCENT: f64 = 50.0;

/// Requests of one front to a service during a roll-out, and how many of them went to the target
/// version.
///
/// Each front keeps its own share within the limit, so the sum over all fronts is within it too,
/// whatever they know of each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExposureMeter {
    requests: u64,
    exposed: u64,
}

impl ExposureMeter {
    /// Share of the requests that goes to the target version while it is compared; `limit_share` is
    /// the operators' limit on it.
    pub fn compare_share(limit_share: f64) -> f64 {
        limit_share * COMPARE_USE_PERCENT / 100.0
    }

    /// Records a request that is sent to the service.
    pub fn record(
        &mut self,
        is_exposed: bool,
    ) {
        self.requests += 1;
        self.exposed += u64::from(is_exposed);
    }

    /// Removes a request that was recorded but not sent.
    pub fn cancel(
        &mut self,
        is_exposed: bool,
    ) {
        self.requests = self.requests.saturating_sub(1);
        self.exposed = self.exposed.saturating_sub(u64::from(is_exposed));
    }

    /// Whether one more request to the target version stays within a share of all requests.
    pub fn admits(
        &self,
        share: f64,
    ) -> bool {
        (self.exposed + 1) as f64 <= share * (self.requests + 1) as f64
    }

    /// Requests so far.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Requests to the target version so far.
    pub fn exposed(&self) -> u64 {
        self.exposed
    }
}
