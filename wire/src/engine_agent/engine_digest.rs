use {
    super::{grouped_parts, KvStoreUpdate},
    pitchhitch_core::serving::{
        EndpointNotice, EngineLoad, NamedRun, NamespaceTag, OrganisationRate, PartId, StoreProof,
        SuspectReport,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Prompt part that an engine caches or has evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestPart {
    /// Cache namespace in which the part is shared.
    #[serde(rename = "wall")]
    pub namespace: NamespaceTag,
    /// Id of the part.
    pub id: PartId,
    /// Tokens that are cached now; 0 if evicted.
    pub tokens: u32,
}

/// State of an engine, as its agent reports it to the fronts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Incarnation of the sender; it increases with each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Sequence number of this digest within the incarnation.
    pub number: u64,
    /// Digests with part changes so far in this incarnation, including this one.
    pub changes: u64,
    /// Whether this digest contains part changes; digests that list all cached parts don't.
    pub is_change: bool,
    /// Start of the engine's incarnation, in milliseconds since 1970, if the engine reports it.
    pub born: Option<u64>,
    /// Load of the engine; its timestamp is zero, as the sender's clock is meaningless to others.
    pub load: EngineLoad,
    /// Models and their weight versions.
    pub weights: Vec<(String, u64)>,
    /// Time on the engines' clock, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Number of fronts that greet the sender.
    pub fronts: u32,
    /// Whether the engine lost its cache before these changes.
    #[serde(rename = "forgets")]
    pub cache_reset: bool,
    /// Whether this is the last digest of a list of all cached parts.
    pub is_whole: bool,
    /// Changed parts, or a section of the list of all cached parts.
    #[serde(with = "grouped_parts")]
    pub parts: Vec<DigestPart>,
    /// Suspect requests that fronts reported: endpoints crashed while running them.
    pub suspects: Vec<SuspectReport>,
    /// Whether this is the last digest of a list of all known suspect requests.
    pub has_all_suspects: bool,
    /// Last known list entry of the engine. Sent only to fronts that no longer greet: they may have
    /// restarted and not know the engine.
    pub endpoint: Option<EndpointNotice>,
    /// Results of fronts' reads of the platform store.
    pub proofs: Vec<StoreProof>,
    /// What the sender has polled from KV stores.
    pub stores: Vec<KvStoreUpdate>,
    /// Sums of the rates by organisation that fronts have reported to the sender.
    pub rates: Vec<OrganisationRate>,
    /// Runs that are to be moved to another engine by the fronts that relay them; at most
    /// `MAX_NAMED_RUNS`.
    pub named_runs: Vec<NamedRun>,
}
