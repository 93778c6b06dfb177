use crate::{conf::CostWeights, kv_cache::StoreTier, time::Micros};

/// State expected to be reused sooner than this is stored in memory, other state on disk.
const MEMORY_HORIZON: Micros = Micros::from_secs(600);
/// Cost of storing one kibibyte until it is reused, in units of the link weight.
const STORAGE_COST: f64 = 0.05;
const BYTES_PER_KIB: f64 = 1024.0;

/// A prompt whose KV state could be retained.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetentionCase {
    /// Probability that the prompt is reused.
    pub reuse_probability: f64,
    /// Expected time until the reuse, if known.
    pub expected_gap: Option<Micros>,
    /// Number of tokens whose state would be stored.
    pub tokens: u32,
    /// Bytes of KV state per token.
    pub token_bytes: u64,
    /// Microseconds that one token takes to compute.
    pub token_cost: f64,
    /// Microseconds that the import would take.
    pub import_time: f64,
    /// Cost weights of the organisation.
    pub weights: CostWeights,
}

/// What to do with the KV state of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetentionDecision {
    /// Tier to store it in; `None` if it is not stored.
    pub tier: Option<StoreTier>,
    /// Expected gain; negative if storing costs more than it saves.
    pub expected_gain: f64,
}

/// Compares the computation that a reuse would save with the cost of transfer and storage.
pub fn decide_retention(case: &RetentionCase) -> RetentionDecision {
    let weights = &case.weights;
    let tokens = f64::from(case.tokens);
    let kib = tokens * case.token_bytes as f64 / BYTES_PER_KIB;
    let saved_time = (tokens * case.token_cost - case.import_time).max(0.0);
    let saved = weights.first_token * saved_time + weights.recompute * tokens;
    let import_cost = weights.link * kib;
    let gain_if_reused = (saved - import_cost).max(0.0);
    let export_cost = weights.link * kib;
    let storage_cost = STORAGE_COST * weights.link * kib;
    let expected_gain = case.reuse_probability * gain_if_reused - export_cost - storage_cost;
    let soon = case.expected_gap.is_none_or(|gap| gap < MEMORY_HORIZON);
    let tier = if soon {
        StoreTier::Memory
    } else {
        StoreTier::Disk
    };
    RetentionDecision {
        tier: (expected_gain > 0.0).then_some(tier),
        expected_gain,
    }
}
