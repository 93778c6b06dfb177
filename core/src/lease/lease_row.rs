use serde::{Deserialize, Serialize};

/// The table row that records the holder of a shard's lease.
///
/// It contains no wall-clock time: other processes take over once the row has not
/// changed for the lease duration plus a margin, measured by their own clocks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder of the lease; empty after it was released.
    pub holder: String,
    /// Incremented each time the lease is acquired by a new holder.
    pub epoch: u64,
    /// Incremented by each renewal.
    pub renewals: u64,
}
