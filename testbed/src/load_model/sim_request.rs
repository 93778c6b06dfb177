use pitchhitch_core::{serving::PromptPart, time::Micros};

/// Index of a caller's request in a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey(pub usize);

/// A caller's request, with all properties drawn from the seed.
#[derive(Debug, Clone)]
pub struct SimRequest {
    /// Index of its kind in the load.
    pub kind: usize,
    /// When its caller first sends it.
    pub at: Micros,
    /// Index of the front that it first goes to.
    pub front: usize,
    /// Parts of the prompt; the last one is not shared.
    pub parts: Vec<PromptPart>,
    /// Length of the response, in tokens.
    pub tokens_out: u32,
    /// When its caller leaves, if before the deadline.
    pub leaves_at: Option<Micros>,
    /// Whether its caller retries at once when it is refused.
    pub is_impatient: bool,
    /// A number between 0 and 1 that spreads the retries of refused callers.
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

/// Final outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered on time.
    OnTime,
    /// Answered, but the first token came late or a pause was too long.
    Late,
    /// Refused, and refused again if its caller retried.
    Refused,
    /// Its deadline passed, or its engine was lost.
    Failed,
    /// Its caller left.
    Abandoned,
}
