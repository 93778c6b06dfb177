use {
    super::{grouped_parts, StoreUpdate},
    pitchhitch_core::serving::{
        EndpointNotice, EngineLoad, NamespaceTag, PartId, StoreProof, SuspectReport,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A part of a prompt that an engine keeps, or no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestPart {
    /// Wall inside which it is shared.
    #[serde(rename = "wall")]
    pub namespace: NamespaceTag,
    /// Part.
    pub id: PartId,
    /// Tokens that are kept now.
    pub tokens: u32,
}

/// What the process beside an engine tells the fronts of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// Where the engine answers.
    pub engine: SocketAddr,
    /// Life of the sender; it rises with each.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of this digest in that life.
    pub number: u64,
    /// Digests with changes of parts so far in that life, this one included.
    pub changes: u64,
    /// Whether it is one of them; those that tell all that is kept are not.
    pub is_change: bool,
    /// Start of the engine's life, in milliseconds since 1970, where it tells that.
    pub born: Option<u64>,
    /// Load of the engine; its time is the sender's and means nothing here.
    pub load: EngineLoad,
    /// Models and versions of their weights.
    pub weights: Vec<(String, u64)>,
    /// Time on the engines' clock, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Fronts that the sender hears.
    pub fronts: u32,
    /// Whether the engine has forgotten all that it kept before these parts.
    #[serde(rename = "forgets")]
    pub cache_reset: bool,
    /// Whether this ends the telling of all that the engine keeps.
    pub is_whole: bool,
    /// Parts that changed, or some of all.
    #[serde(with = "grouped_parts")]
    pub parts: Vec<DigestPart>,
    /// Requests under which endpoints ended, as fronts told.
    pub suspects: Vec<SuspectReport>,
    /// Whether this ends the telling of all such requests that are known.
    pub has_all_suspects: bool,
    /// What fronts knew of the engine; told only to those that greet no more, as they
    /// may have started anew and know of no such engine.
    pub endpoint: Option<EndpointNotice>,
    /// What fronts have read at the platform's store.
    pub proofs: Vec<StoreProof>,
    /// What the sender has read of stores of kept parts.
    pub stores: Vec<StoreUpdate>,
}
