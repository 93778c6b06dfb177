use {
    super::EndpointKey,
    crate::{conf::CostWeights, kv_cache::PieceKey, time::Micros},
    serde::{Deserialize, Serialize},
};

/// What kind of work a request is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkTarget {
    /// A prompt for a model.
    Model(String),
    /// A call of a plain service.
    Service(String),
}

impl WorkTarget {
    /// Name of the model or service.
    pub fn name(&self) -> &str {
        match self {
            WorkTarget::Model(name) | WorkTarget::Service(name) => name,
        }
    }
}

/// What the routing decision needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Name of the organisation.
    pub organisation: &'a str,
    /// What is asked for.
    pub target: &'a WorkTarget,
    /// Weight version that would answer; empty for plain services.
    pub version: &'a str,
    /// Keys of the whole pieces of the prompt, in order.
    pub pieces: &'a [PieceKey],
    /// Length of the prompt, in tokens.
    pub input_tokens: u32,
    /// What the organisation weighs.
    pub weights: CostWeights,
    /// Bytes of kept state for one token of this model.
    pub token_bytes: u64,
    /// Endpoints that were tried before.
    pub excluded: &'a [EndpointKey],
    /// When the decision is made.
    pub now: Micros,
    /// Seed of the random part of the decision.
    pub seed: u64,
}
