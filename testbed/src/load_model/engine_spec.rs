use serde::Deserialize;

/// What all engines of a load are like.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// How many there are.
    pub count: usize,
    /// Requests that one runs at once.
    pub places: u32,
    /// Memory of one, in tokens.
    pub memory_tokens: u64,
    /// Tokens by which memory is handed out.
    pub block_tokens: u32,
    /// Tokens of a prompt that are read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Tokens of prompts that one step reads at most.
    pub piece_tokens: u32,
    /// Time of a step in which nothing is read, in milliseconds.
    pub step_ms: f64,
    /// The same for each request that runs, in milliseconds.
    pub step_ms_per_run: f64,
    /// Time of reading beyond that by tokens, for a million pairs of a token that
    /// is read and one before it, in milliseconds.
    #[serde(default)]
    pub pair_ms: f64,
    /// Time until a prompt that came may be read, in milliseconds.
    pub first_ms: f64,
    /// Tokens that are sent together.
    #[serde(default = "default_event_tokens")]
    pub event_tokens: u32,
    /// Factors on the time of a step; engines take them in turn.
    #[serde(default)]
    pub slowness: Vec<f64>,
    /// Memory of one token, in bytes.
    pub token_bytes: u64,
    /// Speed of an engine's link, in megabits a second.
    pub link_mbps: f64,
    /// Time until a move from an engine begins, in milliseconds.
    pub move_first_ms: f64,
    /// Time between two reports, in milliseconds.
    pub report_every_ms: f64,
    /// Age of a report when fronts hear it, in milliseconds.
    pub report_lag_ms: f64,
}

fn default_event_tokens() -> u32 {
    1
}

impl EngineSpec {
    /// Factor on the steps of one engine.
    pub fn slowness_of(
        &self,
        engine: usize,
    ) -> f64 {
        match self.slowness.len() {
            0 => 1.0,
            count => self.slowness[engine % count],
        }
    }

    /// Memory for so many tokens, in whole blocks.
    pub fn round_to_blocks(
        &self,
        tokens: u32,
    ) -> u64 {
        u64::from(tokens.div_ceil(self.block_tokens.max(1)) * self.block_tokens.max(1))
    }
}
