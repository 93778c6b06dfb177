use {super::SizeSpec, pitchhitch_core::time::Micros, serde::Deserialize};

/// A part that prompts of a kind share.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartSpec {
    /// Size; drawn once for each subject and then the same in all runs.
    pub tokens: SizeSpec,
    /// Number of different subjects.
    pub subjects: u64,
    /// Exponent of the Zipf distribution of subjects; 0 makes all equally likely.
    #[serde(default)]
    pub skew: f64,
}

/// Requests of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// Name of the kind, as waves and tables show it.
    pub name: String,
    /// Mean request rate, per second.
    pub per_s: f64,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Target latency of the first token, in milliseconds.
    pub aim_ms: u64,
    /// Deadline after which the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Longest pause between two tokens of a response that counts as on time, in milliseconds.
    pub pause_ms: u64,
    /// Shared parts, in order.
    pub shared: Vec<PartSpec>,
    /// Size of the part that is not shared.
    pub own: SizeSpec,
    /// Size of the response.
    pub out: SizeSpec,
    /// Engines that a request may be sent to before it fails; a retry by its caller counts anew.
    #[serde(default = "default_sends")]
    pub sends: u32,
    /// Fraction of callers that retry at once when they are refused.
    #[serde(default)]
    pub impatient: f64,
    /// Fraction of callers that leave before their deadline.
    #[serde(default)]
    pub leaving: f64,
}

fn default_sends() -> u32 {
    1
}

impl KindSpec {
    /// Target latency of the first token.
    pub fn target_latency(&self) -> Micros {
        Micros::from_millis(self.aim_ms)
    }

    /// Time after which the caller gives up.
    pub fn deadline(&self) -> Micros {
        Micros::from_millis(self.deadline_ms)
    }
}
