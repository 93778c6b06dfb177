use serde::{Deserialize, Serialize};

/// Where a store box keeps a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreTier {
    /// In memory: quick to import, little room.
    Memory,
    /// On disk: slower, more room.
    Disk,
}
