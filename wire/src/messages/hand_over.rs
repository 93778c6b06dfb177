use {
    super::HeaderField,
    pitchhitch_core::kv_cache::{PieceKey, StoreTier},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Request that an entry process hands over to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Id of the request, logged by both processes.
    pub request_id: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Label that the caller gave the request.
    pub label: String,
    /// Weight version that the request was routed for; none for plain services.
    pub version: Option<String>,
    /// Estimated prompt tokens to compute.
    pub tokens: u32,
    /// Time within which the response must start, in milliseconds.
    pub deadline_millis: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers to forward to the endpoint.
    pub headers: Vec<HeaderField>,
    /// Unmodified body.
    pub body: Vec<u8>,
    /// Keys of the complete pieces of the prompt, in order.
    pub pieces: Vec<PieceKey>,
    /// Pieces to import before the request is sent to the endpoint.
    pub import: Option<ImportPlan>,
    /// Pieces to export after the response.
    pub export: Option<ExportPlan>,
    /// Number of the last event that the caller has received, if a stream is resumed.
    pub resume_after: Option<u64>,
}

/// Pieces to import from a store box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportPlan {
    /// Name of the store box.
    pub store: String,
    /// Address of the store box.
    pub address: SocketAddr,
    /// The pieces, in the order of the prompt.
    pub pieces: Vec<PinnedPiece>,
}

/// A piece with the generation of its stored copy; requests for it fail if the store box
/// has another generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinnedPiece {
    /// The piece.
    pub key: PieceKey,
    /// Generation of the stored copy.
    pub generation: u64,
}

/// Pieces to export to a store box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportPlan {
    /// Name of the store box.
    pub store: String,
    /// Address of the store box.
    pub address: SocketAddr,
    /// Storage tier to write to.
    pub tier: StoreTier,
    /// Identity key of the prompt, see
    /// [`prompt_identity`](pitchhitch_core::role::prompt_identity).
    pub identity: PieceKey,
    /// The pieces, in the order of the prompt.
    pub pieces: Vec<PieceKey>,
}

/// Pieces to drop from a store box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DropPlan {
    /// Name of the store box.
    pub store: String,
    /// Address of the store box.
    pub address: SocketAddr,
    /// The pieces.
    pub pieces: Vec<PinnedPiece>,
}
