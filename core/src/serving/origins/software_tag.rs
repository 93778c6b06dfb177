use {
    crate::serving::{mix_hashes, stable_hash, EndpointEntry},
    serde::{Deserialize, Serialize},
};

/// Identifies a service and the version of its endpoints' software; the same on all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareTag(u64);

impl SoftwareTag {
    /// Tag of an endpoint's service and software.
    pub fn of(entry: &EndpointEntry) -> Self {
        let (service, software) = (stable_hash(&entry.service), stable_hash(&entry.software));
        SoftwareTag(mix_hashes(service, software))
    }
}
