use {
    crate::{
        kv_cache::{PieceKey, StoreTier},
        route::LoadReport,
    },
    serde::{Deserialize, Serialize},
};

/// Batch of agent events, with consecutive sequence numbers within one subscription.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventBatch {
    /// Sequence number of the first event.
    pub first: u64,
    /// The events.
    pub events: Vec<EndpointEvent>,
    /// State of the endpoint when the batch was sent.
    pub pulse: AgentPulse,
}

/// Current state of an agent and its endpoint, sent with every batch.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AgentPulse {
    /// Load of the endpoint.
    pub load: LoadReport,
    /// Whether the agent refuses new work.
    pub refusing: bool,
    /// Pieces that are still to be exported to a store box.
    pub exporting: u32,
    /// All requests with a lower ticket have passed the agent's gate in this incarnation, whether
    /// they were accepted or refused.
    pub taken_up: u64,
}

/// Event that an agent reports about its endpoint to subscribed entry processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EndpointEvent {
    /// A piece is in accelerator memory.
    Cached(PieceKey),
    /// A piece was evicted from accelerator memory.
    Evicted(PieceKey),
    /// The cache in accelerator memory was cleared.
    Cleared,
    /// A piece was completely written to a store box.
    Stored(StoredNotice),
    /// A piece is no longer on a store box.
    Missing(MissingNotice),
    /// A prompt was sent to the endpoint.
    PromptUsed(PromptUse),
    /// A store box had no free space for a piece.
    StoreFull {
        /// Name of the store box.
        store: String,
    },
    /// The endpoint has another weight version loaded.
    Version(String),
    /// Execution of an order ended.
    OrderEnded(OrderOutcome),
}

/// A piece that was completely written to a store box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredNotice {
    /// The piece.
    pub key: PieceKey,
    /// Name of the store box.
    pub store: String,
    /// Storage tier.
    pub tier: StoreTier,
    /// Generation of the stored copy.
    pub generation: u64,
    /// Identity key of its prompt, see [`prompt_identity`](super::prompt_identity).
    pub identity: PieceKey,
}

/// A prompt that was sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUse {
    /// Identity key, see [`prompt_identity`](super::prompt_identity).
    pub identity: PieceKey,
    /// Organisation.
    pub organisation: String,
    /// Label that the caller gave the request.
    pub label: String,
}

/// A piece that is no longer on a store box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingNotice {
    /// The piece.
    pub key: PieceKey,
    /// Name of the store box.
    pub store: String,
    /// Generation that is missing; a newer one may exist.
    pub generation: u64,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderOutcome {
    /// Version that was ordered.
    pub version: String,
    /// Reason of the failure; none on success.
    pub failure: Option<String>,
}
