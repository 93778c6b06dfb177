use {crate::time::Micros, std::net::SocketAddr};

/// Time that a question for changes is held while there are none, where few ask.
const POLL_WAIT: Micros = Micros::from_millis(300);
/// Pause between two questions; each has its price, and each answer proves for
/// two seconds that the store still lives as it did.
const POLL_PAUSE: Micros = Micros::from_millis(400);
/// The same where many ask; the platform prices calls that are held for less.
const BUSY_POLL_WAIT: Micros = Micros::from_millis(200);
/// The longest pause: an answer is good for two seconds, and may be one too late.
const MAX_POLL_PAUSE: Micros = Micros::from_millis(800);

/// How a store is asked for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollPlan {
    /// Time that it may hold the call while there are none.
    pub wait: Micros,
    /// Time until the next call.
    pub pause: Micros,
}

/// A place outside of the engines that keeps parts of prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct KvStore {
    /// Name.
    pub name: String,
    /// Where engines reach it.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Room, in tokens.
    pub capacity_tokens: u64,
    /// Speed of its link, in megabits a second.
    pub link_mbps: f64,
    /// Time until a move begins, in milliseconds.
    pub first_ms: f64,
    /// Whether parts must be freed by us.
    pub is_managed: bool,
    /// Calls that it holds at once; further ones are refused.
    pub max_pending_calls: u32,
}

impl KvStore {
    /// How each of so many fronts asks for changes, so that the calls of all of
    /// them take half of what the store holds, or as near to it as may be.
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
