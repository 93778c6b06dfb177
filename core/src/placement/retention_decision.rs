use crate::{conf::CostWeights, kv_cache::StoreTier, time::Micros};

/// Returns that come sooner than this are worth memory; later ones go to disk.
const MEMORY_HORIZON: Micros = Micros::from_secs(600);
/// Cost of holding one kibibyte until a return, in units of the link weight.
const STORAGE_COST: f64 = 0.05;
const BYTES_PER_KIB: f64 = 1024.0;

/// What is known of a prompt whose state could be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetentionInput {
    /// Chance that the prompt comes back.
    pub reuse_probability: f64,
    /// Likely gap until then, if known.
    pub expected_gap: Option<Micros>,
    /// Tokens whose state would be kept.
    pub tokens: u32,
    /// Bytes of kept state for one token.
    pub token_bytes: u64,
    /// Microseconds that one token takes to compute.
    pub token_cost: f64,
    /// Microseconds that the import would take.
    pub import_time: f64,
    /// What the organisation weighs.
    pub weights: CostWeights,
}

/// What to do with the state of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetentionDecision {
    /// The tier it goes to; none when it is not worth it.
    pub tier: Option<StoreTier>,
    /// Expected gain; negative when keeping costs more than it brings.
    pub expected_gain: f64,
}

/// Weighs the recompute that a return would save against link and room.
pub fn decide_retention(input: &RetentionInput) -> RetentionDecision {
    let weights = &input.weights;
    let tokens = f64::from(input.tokens);
    let kib = tokens * input.token_bytes as f64 / BYTES_PER_KIB;
    let saved_time = (tokens * input.token_cost - input.import_time).max(0.0);
    let saved = weights.first_token * saved_time + weights.recompute * tokens;
    let import_cost = weights.link * kib;
    let gain = (saved - import_cost).max(0.0);
    let export_cost = weights.link * kib;
    let storage_cost = STORAGE_COST * weights.link * kib;
    let expected_gain = input.reuse_probability * gain - export_cost - storage_cost;
    let is_soon = input.expected_gap.is_none_or(|gap| gap < MEMORY_HORIZON);
    let tier = if is_soon {
        StoreTier::Memory
    } else {
        StoreTier::Disk
    };
    RetentionDecision {
        tier: (expected_gain > 0.0).then_some(tier),
        expected_gain,
    }
}
