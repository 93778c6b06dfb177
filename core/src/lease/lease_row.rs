use serde::{Deserialize, Serialize};

/// The row in the table that says who controls a shard.
///
/// It holds no wall-clock time: others take over when the row has not changed
/// for the length of a lease by their own clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds the lease; empty after it was given back.
    pub holder: String,
    /// Goes up by one with each change of holder.
    pub epoch: u64,
    /// Goes up by one with each renewal.
    pub renewals: u64,
}
