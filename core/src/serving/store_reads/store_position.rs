use {
    serde::{Deserialize, Serialize},
    std::cmp::Ordering,
    thiserror::Error,
};

/// Number of times the platform store has been restored from a snapshot, as it reports; 0 where it
/// does not report it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

/// A version of the platform store. A restore from a snapshot sets versions back and reuses them,
/// so versions of two eras have no order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StorePosition {
    /// Era in which the store assigned the version.
    pub era: StoreEra,
    /// Version within that era.
    pub version: u64,
}

/// Positions of two eras were compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("cannot compare store versions of different eras ({0} and {1})")]
pub struct EraMismatch(pub u64, pub u64);

impl StorePosition {
    /// Compares two versions of the same era.
    ///
    /// # Errors
    ///
    /// Returns [`EraMismatch`] if they belong to different eras.
    pub fn compare(
        self,
        other: StorePosition,
    ) -> Result<Ordering, EraMismatch> {
        match self.era == other.era {
            true => Ok(self.version.cmp(&other.version)),
            false => Err(EraMismatch(self.era.0, other.era.0)),
        }
    }

    /// Whether this position was reported later than `other`: by version within one era, otherwise
    /// by era. What a later era shows may be older content until its writer has rewritten it.
    pub fn is_newer_than(
        self,
        other: StorePosition,
    ) -> bool {
        match self.compare(other) {
            Ok(order) => order == Ordering::Greater,
            Err(_) => self.era > other.era,
        }
    }
}
