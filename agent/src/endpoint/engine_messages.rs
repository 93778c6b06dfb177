use {
    pitchhitch_core::{kv_cache::PieceKey, lease::OrderStamp, role::CacheChange},
    serde::{Deserialize, Serialize},
};

/// Request header: keys of the prompt's pieces, separated by commas.
pub const PIECES_HEADER: &str = "x-prefix-pieces";
/// Request header: weight version that a request was routed for or an imported piece belongs to.
pub const VERSION_HEADER: &str = "x-weight-version";
/// Response header: number of computed prompt tokens.
pub const COMPUTED_HEADER: &str = "x-computed-tokens";
/// Response header: reason for which the engine refused to run the request.
pub const REFUSED_HEADER: &str = "x-engine-refused";
/// Request header of a resumed stream: number of the last event that the caller has received.
pub const RESUME_HEADER: &str = "last-event-id";

/// Health of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHealth {
    /// Loaded weight version.
    pub version: String,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

/// The whole cache of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCache {
    /// Sequence number of the next change.
    pub next: u64,
    /// Keys of all cached pieces.
    pub keys: Vec<PieceKey>,
}

/// Changes of an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineChanges {
    /// Sequence number of the first change.
    pub first: u64,
    /// The changes.
    pub changes: Vec<EngineChange>,
}

/// One change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineChange {
    /// A piece was cached.
    Added(PieceKey),
    /// A piece was evicted.
    Dropped(PieceKey),
    /// The whole cache was cleared.
    Cleared,
}

impl From<EngineChange> for CacheChange {
    fn from(change: EngineChange) -> Self {
        match change {
            EngineChange::Added(key) => CacheChange::Added(key),
            EngineChange::Dropped(key) => CacheChange::Dropped(key),
            EngineChange::Cleared => CacheChange::Cleared,
        }
    }
}

/// Body of an order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Weight version to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapter to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Role to change to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Epoch and sequence number, for endpoints that verify them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stamp: Option<OrderStamp>,
}
