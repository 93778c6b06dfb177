use {crate::time::Micros, std::net::SocketAddr};

/// Maximum duration of a long poll with few clients.
const POLL_WAIT: Micros = Micros::from_millis(300);
/// Pause between two polls. Each call has a cost, and each response proves for two seconds that the
/// store has not restarted.
const POLL_PAUSE: Micros = Micros::from_millis(400);
/// Maximum duration of a long poll with many clients; the platform charges for shorter ones.
const BUSY_POLL_WAIT: Micros = Micros::from_millis(200);
/// Maximum pause: a response is valid for two seconds, and one response may be late.
const MAX_POLL_PAUSE: Micros = Micros::from_millis(800);

/// How a client polls a store for changes (long polling).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollPlan {
    /// Time for which the store may delay its response while there are no changes.
    pub wait: Micros,
    /// Time until the next call.
    pub pause: Micros,
}

/// A store for prompt parts outside of the engines.
#[derive(Debug, Clone, PartialEq)]
pub struct KvStore {
    /// Name of the store.
    pub name: String,
    /// Address for engines.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Capacity, in tokens.
    pub capacity_tokens: u64,
    /// Bandwidth of its link, in megabits per second.
    pub link_mbps: f64,
    /// Latency until a transfer begins, in milliseconds.
    pub first_ms: f64,
    /// Whether the fronts have to delete parts from it.
    pub is_managed: bool,
    /// Maximum number of pending calls; it refuses further ones.
    pub max_pending_calls: u32,
}

impl KvStore {
    /// Polling plan for each of `fronts` clients. Together they use at most half of the pending
    /// calls that the store accepts, as far as the maximum pause permits.
    pub fn poll_plan(
        &self,
        fronts: u32,
    ) -> PollPlan {
        let max_pending = u64::from(self.max_pending_calls / 2).max(1);
        let pause_for =
            |wait: Micros| Micros((wait.0 * u64::from(fronts)).div_ceil(max_pending)).since(wait);
        if pause_for(POLL_WAIT) <= POLL_PAUSE {
            return PollPlan {
                wait: POLL_WAIT,
                pause: POLL_PAUSE,
            };
        }
        PollPlan {
            wait: BUSY_POLL_WAIT,
            pause: pause_for(BUSY_POLL_WAIT)
                .max(POLL_PAUSE)
                .min(MAX_POLL_PAUSE),
        }
    }
}
