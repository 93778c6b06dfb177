use {
    super::{CostEstimate, EndpointKey},
    crate::kv_cache::PieceKey,
};

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// It was the only usable one.
    OnlyOne,
    /// It holds a part of the prompt, and that made it cheapest.
    ReusesPrefix,
    /// Importing kept state made it cheapest.
    ImportsPrefix,
    /// It was cheapest by its queue.
    ShortestQueue,
    /// A baseline policy chose it.
    Baseline,
}

impl RouteReason {
    /// The word in log lines.
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
    /// Who takes the request.
    pub endpoint: EndpointKey,
    /// Its estimate.
    pub estimate: CostEstimate,
    /// The next best and its estimate.
    pub runner_up: Option<RunnerUp>,
    /// Why.
    pub reason: RouteReason,
    /// Endpoints that were looked at.
    pub candidates: u32,
    /// Pieces to import, in order.
    pub imports: Vec<PieceImport>,
}

/// The endpoint that was second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunnerUp {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its estimate.
    pub estimate: CostEstimate,
}

/// One piece that the agent is to import.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceImport {
    /// The piece.
    pub key: PieceKey,
    /// Generation that must still be there.
    pub generation: u64,
}
