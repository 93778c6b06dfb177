use {
    super::HeaderField,
    pitchhitch_core::kv_cache::{PieceKey, StoreTier},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A request as an entry process hands it to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Id of the request, for logs on both sides.
    pub request_id: String,
    /// Organisation that it belongs to.
    pub organisation: String,
    /// Label that the caller put on it.
    pub label: String,
    /// Weight version it was decided for; none for plain services.
    pub version: Option<String>,
    /// Prompt tokens that are likely to be computed.
    pub tokens: u32,
    /// Milliseconds within which the answer must begin.
    pub deadline_millis: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<HeaderField>,
    /// Body, untouched.
    pub body: Vec<u8>,
    /// Keys of the whole pieces of the prompt, in order.
    pub pieces: Vec<PieceKey>,
    /// What to import before the endpoint starts.
    pub import: Option<ImportPlan>,
    /// What to export once the state is there.
    pub export: Option<ExportPlan>,
    /// Number of the last answer event that the caller has, when a stream is resumed.
    pub resume_after: Option<u64>,
}

/// Pieces to import from a store box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportPlan {
    /// Name of the store box.
    pub store: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The pieces, in the order of the prompt.
    pub pieces: Vec<PinnedPiece>,
}

/// A piece with the generation that must still be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinnedPiece {
    /// The piece.
    pub key: PieceKey,
    /// Its generation.
    pub generation: u64,
}

/// Pieces to export to a store box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportPlan {
    /// Name of the store box.
    pub store: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tier they go to.
    pub tier: StoreTier,
    /// Key by which the prompt is recognised.
    pub identity: PieceKey,
    /// The pieces, in the order of the prompt.
    pub pieces: Vec<PieceKey>,
}

/// Pieces to drop from a store box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DropPlan {
    /// Name of the store box.
    pub store: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The pieces.
    pub pieces: Vec<PinnedPiece>,
}
