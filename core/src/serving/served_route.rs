use crate::time::Micros;

/// What may be done a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// All of it.
    Idempotent,
    /// Nothing: it may run once.
    NonIdempotent,
    /// A stream that may go on elsewhere behind the last event that came.
    Resumable,
}

impl RetryPolicy {
    /// Whether a request that may have begun can be sent again.
    pub fn allows_rerun(self) -> bool {
        self != RetryPolicy::NonIdempotent
    }
}

/// A service that a route leads to, and its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Its weight among the targets of the route.
    pub weight: u32,
}

/// One route of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedRoute {
    /// Name, for the logs.
    pub name: String,
    /// Host that it belongs to.
    pub host: String,
    /// Beginning of the paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// What may be done a second time.
    pub retry: RetryPolicy,
    /// Longest time for which a request is held.
    pub time_limit: Micros,
    /// Time within which an answer, or its first event, is worth most.
    pub target_latency: Micros,
    /// Longest pause between events of a stream that is in time.
    pub target_gap: Option<Micros>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most endpoints that one request may go to.
    pub max_endpoints: u32,
    /// Whether it is served without a key.
    pub is_public: bool,
    /// Regions in which its requests may run; empty where all may.
    pub allowed_regions: Vec<String>,
    /// Where it leads.
    pub targets: Vec<RouteTarget>,
}

impl ServedRoute {
    /// The target for a request, spread by weight; `spread` is any number.
    pub fn target(
        &self,
        spread: u64,
    ) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut offset = spread % total;
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
