use crate::time::Micros;

/// Which requests of a route may run a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// All requests.
    Idempotent,
    /// None: a request may run at most once.
    NonIdempotent,
    /// Streams that can be resumed on another endpoint after the last event received.
    Resumable,
}

impl RetryPolicy {
    /// Whether a request that may have started can be sent again.
    pub fn allows_rerun(self) -> bool {
        self != RetryPolicy::NonIdempotent
    }
}

/// Service that a route forwards to, and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Weight among the targets of the route.
    pub weight: u32,
}

/// A route of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedRoute {
    /// Name in logs.
    pub name: String,
    /// Host of the route.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Which requests may run a second time.
    pub retry: RetryPolicy,
    /// Maximum time for a request.
    pub time_limit: Micros,
    /// Target time until the answer, or its first event.
    pub target_latency: Micros,
    /// Target for the longest gap between events of a stream.
    pub target_gap: Option<Micros>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_endpoints: u32,
    /// Whether no key is required.
    pub is_public: bool,
    /// Regions in which requests may run; empty for all.
    pub allowed_regions: Vec<String>,
    /// Services that the route forwards to.
    pub targets: Vec<RouteTarget>,
}

impl ServedRoute {
    /// Service for a request, chosen by weight; `seed` is any number.
    pub fn target(
        &self,
        seed: u64,
    ) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut offset = seed % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return Some(&target.service);
            }
            offset -= weight;
        }
        None
    }
}
