use serde::Deserialize;

/// Properties that all engines of a load share.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Number of engines.
    pub count: usize,
    /// Requests that one engine runs at once.
    pub places: u32,
    /// Memory of one engine, in tokens.
    pub memory_tokens: u64,
    /// Size of a memory block, in tokens.
    pub block_tokens: u32,
    /// Prompt tokens that are prefilled in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Maximum of prompt tokens that one step prefills.
    pub piece_tokens: u32,
    /// Duration of a step without prefill, in milliseconds.
    pub step_ms: f64,
    /// Further duration of a step for each running request, in milliseconds.
    pub step_ms_per_run: f64,
    /// Attention cost of prefill, in milliseconds for a million pairs of a prefilled token and one
    /// before it. It is added to the time by tokens.
    #[serde(default)]
    pub pair_ms: f64,
    /// Delay before a prompt that has arrived can be prefilled, in milliseconds.
    pub first_ms: f64,
    /// Tokens that are sent in one event.
    #[serde(default = "default_event_tokens")]
    pub event_tokens: u32,
    /// Factors on the duration of a step, assigned to the engines in rotation.
    #[serde(default)]
    pub slowness: Vec<f64>,
    /// Memory of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link, in megabits per second.
    pub link_mbps: f64,
    /// Latency before a transfer from an engine starts, in milliseconds.
    pub move_first_ms: f64,
    /// Interval of reports, in milliseconds.
    pub report_every_ms: f64,
    /// Age of a report when fronts receive it, in milliseconds.
    pub report_lag_ms: f64,
}

fn default_event_tokens() -> u32 {
    1
}

impl EngineSpec {
    /// Factor on the step duration of one engine.
    pub fn slowness_of(
        &self,
        engine: usize,
    ) -> f64 {
        match self.slowness.len() {
            0 => 1.0,
            count => self.slowness[engine % count],
        }
    }

    /// Memory that `tokens` tokens occupy, rounded up to whole blocks.
    pub fn round_to_blocks(
        &self,
        tokens: u32,
    ) -> u64 {
        u64::from(tokens.div_ceil(self.block_tokens.max(1)) * self.block_tokens.max(1))
    }
}
