use {
    super::EndpointKey,
    crate::{conf::CostWeights, kv_cache::PieceKey, time::Micros},
    serde::{Deserialize, Serialize},
};

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkTarget {
    /// A prompt for a model.
    Model(String),
    /// A call to a plain service.
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

/// Inputs of the routing decision for a request.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Name of the organisation.
    pub organisation: &'a str,
    /// Requested model or service.
    pub target: &'a WorkTarget,
    /// Weight version to serve the request; empty for plain services.
    pub version: &'a str,
    /// Keys of the complete pieces of the prompt, in order.
    pub pieces: &'a [PieceKey],
    /// Length of the prompt, in tokens.
    pub input_tokens: u32,
    /// Cost weights of the organisation.
    pub weights: CostWeights,
    /// Bytes of KV state per token of the model.
    pub token_bytes: u64,
    /// Endpoints that were already tried.
    pub excluded: &'a [EndpointKey],
    /// Time of the decision.
    pub now: Micros,
    /// Random seed of the decision.
    pub seed: u64,
}
