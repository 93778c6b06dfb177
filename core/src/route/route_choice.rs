use {
    super::{CostEstimate, EndpointKey},
    crate::kv_cache::PieceKey,
};

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// It was the only usable endpoint.
    OnlyOne,
    /// It had the lowest cost and holds a prefix of the prompt.
    ReusesPrefix,
    /// It had the lowest cost and imports cached KV state.
    ImportsPrefix,
    /// It had the lowest cost without any cached KV state.
    ShortestQueue,
    /// A baseline policy chose it.
    Baseline,
}

impl RouteReason {
    /// The value in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            RouteReason::OnlyOne => "only-one",
            RouteReason::ReusesPrefix => "reuses-prefix",
            RouteReason::ImportsPrefix => "imports-prefix",
            RouteReason::ShortestQueue => "shortest-queue",
            RouteReason::Baseline => "baseline",
        }
    }
}

/// A routing decision.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// The chosen endpoint.
    pub endpoint: EndpointKey,
    /// Cost estimate of the chosen endpoint.
    pub estimate: CostEstimate,
    /// The second-best endpoint, if any.
    pub runner_up: Option<RunnerUp>,
    /// Why it was chosen.
    pub reason: RouteReason,
    /// Number of usable endpoints that were compared.
    pub candidates: u32,
    /// Pieces to import, in prompt order.
    pub imports: Vec<PieceImport>,
}

/// The second-best endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunnerUp {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its cost estimate.
    pub estimate: CostEstimate,
}

/// A piece to be imported by the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceImport {
    /// Key of the piece.
    pub key: PieceKey,
    /// Generation that the store box must still have.
    pub generation: u64,
}
