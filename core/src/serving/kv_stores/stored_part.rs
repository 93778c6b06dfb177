use {
    crate::serving::{mix_hashes, stable_hash, NamespaceTag, PartId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A prompt part at a KV store, whether the store has it or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoredPart {
    /// Address of the store.
    pub store: SocketAddr,
    /// Cache namespace in which the part is shared.
    pub namespace: NamespaceTag,
    /// Id of the part.
    pub id: PartId,
}

impl StoredPart {
    /// Hash that all processes compute alike.
    pub fn hash(&self) -> u64 {
        let store = stable_hash(self.store.to_string());
        mix_hashes(mix_hashes(self.id.value(), self.namespace.0), store)
    }
}
