use {
    pitchhitch_core::{
        serving::{NamespaceTag, PartId},
        time::Micros,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Prompt part that a KV store has stored or deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvStorePart {
    /// Sequence number of the change at the store.
    pub number: u64,
    /// Cache namespace in which the part is shared.
    #[serde(rename = "wall")]
    pub namespace: NamespaceTag,
    /// Id of the part.
    pub id: PartId,
    /// Tokens that are stored now; 0 if deleted.
    pub tokens: u32,
}

/// What the agent of an engine has polled from a KV store on behalf of all fronts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvStoreUpdate {
    /// Address of the store.
    pub store: SocketAddr,
    /// Epoch, which identifies the store's incarnation.
    pub epoch: u64,
    /// Time on the engines' clock at its last response, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Time since that response.
    pub answered: Micros,
    /// Time since the request for that response was sent.
    pub age: Micros,
    /// Sequence number after which this update contains all changes.
    pub from: u64,
    /// Sequence number from which to continue.
    pub next: u64,
    /// Changes, in order; earlier updates contained some of them. Or all complete parts, if
    /// `is_whole`.
    pub parts: Vec<KvStorePart>,
    /// Whether this update contains the whole content of the store, for a front that asked for it.
    pub is_whole: bool,
    /// Salts of the cache namespaces of these parts, if `is_whole`.
    pub salts: Vec<String>,
}
