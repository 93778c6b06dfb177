use {crate::time::Micros, std::net::SocketAddr};

/// Time that a question for changes is held while there are none, where few ask.
const HOLD: Micros = Micros::from_millis(300);
/// Pause between two questions; each has its price, and each answer proves for
/// two seconds that the store still lives as it did.
const LOOK_PAUSE: Micros = Micros::from_millis(400);
/// The same where many ask; the platform prices calls that are held for less.
const MANY_HOLD: Micros = Micros::from_millis(200);
/// The longest pause: an answer is good for two seconds, and may be one too late.
const LONGEST_PAUSE: Micros = Micros::from_millis(800);

/// How a store is asked for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LookPlan {
    /// Time that it may hold the call while there are none.
    pub hold: Micros,
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
    pub held_calls: u32,
}

impl KvStore {
    /// How each of so many fronts asks for changes, so that the calls of all of
    /// them take half of what the store holds, or as near to it as may be.
    pub fn look_plan(
        &self,
        fronts: u32,
    ) -> LookPlan {
        let may_hold = u64::from(self.held_calls / 2).max(1);
        let pause_for =
            |hold: Micros| Micros((hold.0 * u64::from(fronts)).div_ceil(may_hold)).since(hold);
        if pause_for(HOLD) <= LOOK_PAUSE {
            return LookPlan {
                hold: HOLD,
                pause: LOOK_PAUSE,
            };
        }
        LookPlan {
            hold: MANY_HOLD,
            pause: pause_for(MANY_HOLD).max(LOOK_PAUSE).min(LONGEST_PAUSE),
        }
    }
}
