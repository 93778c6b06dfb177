use serde::{Deserialize, Serialize};

/// Storage tier of a store box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreTier {
    /// Memory: fast to import from, small.
    Memory,
    /// Disk: slower, larger.
    Disk,
}
