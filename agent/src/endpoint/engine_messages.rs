use {
    pitchhitch_core::{kv_cache::PieceKey, lease::OrderStamp, role::CacheChange},
    serde::{Deserialize, Serialize},
};

/// Header that names the pieces of a prompt, with commas between.
pub const PIECES_HEADER: &str = "x-prefix-pieces";
/// Header that names the weight version a request was decided for.
pub const VERSION_HEADER: &str = "x-weight-version";
/// Header of an answer: prompt tokens that were computed.
pub const COMPUTED_HEADER: &str = "x-computed-tokens";
/// Header of an answer: the engine did not run the request, and why.
pub const REFUSED_HEADER: &str = "x-engine-refused";
/// Header of a resumed request: number of the last event that the caller has.
pub const RESUME_HEADER: &str = "last-event-id";

/// Health of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHealth {
    /// Weight version that it holds.
    pub version: String,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// The whole cache of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCache {
    /// Number that the next change will have.
    pub next: u64,
    /// All pieces.
    pub keys: Vec<PieceKey>,
}

/// Changes of an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineChanges {
    /// Number of the first change.
    pub first: u64,
    /// The changes.
    pub changes: Vec<EngineChange>,
}

/// One change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineChange {
    /// A piece came in.
    Added(PieceKey),
    /// A piece was dropped.
    Dropped(PieceKey),
    /// Everything was dropped.
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

/// An order as an engine takes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Version to load, for a load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapter to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Role to take.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Epoch and sequence, for endpoints that check who orders them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stamp: Option<OrderStamp>,
}
