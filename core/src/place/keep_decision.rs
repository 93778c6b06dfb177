use crate::{conf::CostWeights, kept::StoreTier, time::Micros};

/// Returns that come sooner than this are worth memory; later ones go to disk.
const MEMORY_HORIZON: Micros = Micros::from_secs(600);
/// Cost of holding one kibibyte until a return, in units of the link weight.
const ROOM_COST: f64 = 0.05;
const BYTES_PER_KIB: f64 = 1024.0;

/// What is known of a prompt whose state could be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeepCase {
    /// Chance that the prompt comes back.
    pub chance: f64,
    /// Likely gap until then, if known.
    pub gap: Option<Micros>,
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
pub struct KeepDecision {
    /// The tier it goes to; none when it is not worth it.
    pub tier: Option<StoreTier>,
    /// Expected gain; negative when keeping costs more than it brings.
    pub worth: f64,
}

/// Weighs the recompute that a return would save against link and room.
pub fn decide_keep(case: &KeepCase) -> KeepDecision {
    let weights = &case.weights;
    let tokens = f64::from(case.tokens);
    let kib = tokens * case.token_bytes as f64 / BYTES_PER_KIB;
    let saved_time = (tokens * case.token_cost - case.import_time).max(0.0);
    let saved = weights.first_token * saved_time + weights.recompute * tokens;
    let import_cost = weights.link * kib;
    let gain = (saved - import_cost).max(0.0);
    let export_cost = weights.link * kib;
    let room_cost = ROOM_COST * weights.link * kib;
    let worth = case.chance * gain - export_cost - room_cost;
    let soon = case.gap.is_none_or(|gap| gap < MEMORY_HORIZON);
    let tier = if soon {
        StoreTier::Memory
    } else {
        StoreTier::Disk
    };
    KeepDecision {
        tier: (worth > 0.0).then_some(tier),
        worth,
    }
}
