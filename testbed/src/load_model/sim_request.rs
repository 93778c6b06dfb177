use pitchhitch_core::{serving::PromptPart, time::Micros};

/// Key of a caller's request in a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey(pub usize);

/// A request that a caller makes, with all that its seed has drawn.
#[derive(Debug, Clone)]
pub struct SimRequest {
    /// Place of its kind in the load.
    pub kind: usize,
    /// When its caller sends it first.
    pub at: Micros,
    /// Front that it goes to first.
    pub front: usize,
    /// Parts; the last is its own.
    pub parts: Vec<PromptPart>,
    /// Answer, in tokens.
    pub tokens_out: u32,
    /// When its caller leaves, if before the deadline.
    pub leaves_at: Option<Micros>,
    /// Whether its caller comes back at once when it is refused.
    pub is_impatient: bool,
    /// A number between 0 and 1 that spreads the returns of refused callers.
    pub jitter: f64,
}

impl SimRequest {
    /// Size of the prompt, in tokens.
    pub fn tokens_in(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Parts that other prompts share.
    pub fn shared(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered in time.
    OnTime,
    /// It was answered, but began late or paused for too long.
    Late,
    /// It was refused, and again if it came back.
    Refused,
    /// Its deadline passed, or its engine was lost.
    Failed,
    /// Its caller left.
    Abandoned,
}
