use {
    super::SoftwareTag,
    crate::serving::stable_hash,
    serde::{Deserialize, Serialize},
};

/// Identifies a stream by the id of the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// The stream whose first event this attempt brought.
    pub fn of(request_id: &str) -> Self {
        StreamId(stable_hash(request_id))
    }

    pub(super) fn hash(self) -> u64 {
        self.0
    }
}

/// The software that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// Software that sent its first event.
    pub software: SoftwareTag,
}
