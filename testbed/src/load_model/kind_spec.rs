use {super::SizeSpec, pitchhitch_core::time::Micros, serde::Deserialize};

/// A part that prompts of a kind share.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartSpec {
    /// Sizes; each subject keeps its own throughout.
    pub tokens: SizeSpec,
    /// Subjects that there are.
    pub subjects: u64,
    /// Exponent of the Zipf law by which subjects are chosen; 0 where all are alike.
    #[serde(default)]
    pub skew: f64,
}

/// Requests of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// Name.
    pub name: String,
    /// How many come in a second.
    pub per_s: f64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Time within which an answer should begin, in milliseconds.
    pub aim_ms: u64,
    /// Time after which its caller waits no longer, in milliseconds.
    pub deadline_ms: u64,
    /// Longest pause between two tokens of an answer in aim, in milliseconds.
    pub pause_ms: u64,
    /// Shared parts, in order.
    pub shared: Vec<PartSpec>,
    /// The prompt's own part.
    pub own: SizeSpec,
    /// Answers.
    pub out: SizeSpec,
    /// Engines that one try of a caller may go to.
    #[serde(default = "default_sends")]
    pub sends: u32,
    /// Part of the callers that come back at once when they are refused.
    #[serde(default)]
    pub impatient: f64,
    /// Part of the callers that leave before their deadline.
    #[serde(default)]
    pub leaving: f64,
}

fn default_sends() -> u32 {
    1
}

impl KindSpec {
    /// Time within which an answer should begin.
    pub fn target_latency(&self) -> Micros {
        Micros::from_millis(self.aim_ms)
    }

    /// Time after which a caller waits no longer.
    pub fn deadline(&self) -> Micros {
        Micros::from_millis(self.deadline_ms)
    }
}
