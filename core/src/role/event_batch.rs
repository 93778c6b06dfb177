use {
    crate::{
        kv_cache::{PieceKey, StoreTier},
        route::LoadReport,
    },
    serde::{Deserialize, Serialize},
};

/// Events of an agent, numbered without gaps within one subscription.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventBatch {
    /// Number of the first event; the others follow on.
    pub first: u64,
    /// The events.
    pub events: Vec<UpwardEvent>,
    /// The state of the endpoint when the batch was sent.
    pub pulse: AgentPulse,
}

/// State that every batch carries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AgentPulse {
    /// Load of the endpoint.
    pub load: LoadReport,
    /// Whether the agent refuses new work.
    pub refusing: bool,
    /// Pieces that it still carries to a store box.
    pub exporting: u32,
    /// Hand-overs that the agent's gate has seen in this life: all whose tickets are below.
    pub taken_up: u64,
}

/// One thing that an agent tells upward.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UpwardEvent {
    /// The accelerator memory holds a piece.
    Cached(PieceKey),
    /// The accelerator memory dropped a piece.
    Evicted(PieceKey),
    /// The accelerator memory was emptied.
    Cleared,
    /// A piece was sealed on a store box.
    Stored(StoredNotice),
    /// A piece that should be on a store box is not there.
    Missing(MissingNotice),
    /// A prompt was handed to the endpoint.
    PromptUsed(PromptUse),
    /// A store box had no room for a piece.
    StoreFull {
        /// Name of the store box.
        store: String,
    },
    /// The endpoint holds another weight version now.
    Version(String),
    /// An order ended; the text says how when it failed.
    OrderEnded(OrderOutcome),
}

/// A sealed piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredNotice {
    /// The piece.
    pub key: PieceKey,
    /// Name of the store box.
    pub store: String,
    /// Tier it is in.
    pub tier: StoreTier,
    /// Its generation.
    pub generation: u64,
    /// Key by which its prompt is recognised.
    pub identity: PieceKey,
}

/// A prompt that was handed to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUse {
    /// Key by which the prompt is recognised.
    pub identity: PieceKey,
    /// Organisation.
    pub organisation: String,
    /// Label that the caller put on it.
    pub label: String,
}

/// A piece that was not found where it should be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingNotice {
    /// The piece.
    pub key: PieceKey,
    /// Name of the store box.
    pub store: String,
    /// Generation that was looked for; a newer one may be there.
    pub generation: u64,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderOutcome {
    /// Version that was to be loaded.
    pub version: String,
    /// Why it failed; none when it did not.
    pub failure: Option<String>,
}
