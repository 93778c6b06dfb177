/// A prompt is short if an engine's memory holds at least this many prompts of its size. Fewer,
/// larger ones fill an engine unevenly, and each delays the streams beside it for many steps.
pub const SHORT_PROMPTS_PER_ENGINE: u64 = 12;

/// Size class of a prompt, relative to the memory of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptSize {
    /// Many such prompts fit in an engine's memory.
    Short,
    /// Few of them fit.
    Long,
}

impl PromptSize {
    /// Size class of a prompt of `tokens` on engines with a memory of `capacity_tokens`.
    pub fn of(
        tokens: u64,
        capacity_tokens: u64,
    ) -> Self {
        match tokens <= capacity_tokens / SHORT_PROMPTS_PER_ENGINE {
            true => PromptSize::Short,
            false => PromptSize::Long,
        }
    }

    /// Whether a prompt is short, but would be long at twice its size.
    pub fn is_near_limit(
        tokens: u64,
        capacity_tokens: u64,
    ) -> bool {
        PromptSize::of(tokens, capacity_tokens) == PromptSize::Short
            && PromptSize::of(tokens.saturating_mul(2), capacity_tokens) == PromptSize::Long
    }

    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            PromptSize::Short => "short",
            PromptSize::Long => "long",
        }
    }
}
