use {
    serde::{Deserialize, Serialize},
    std::cmp::Ordering,
    thiserror::Error,
};

/// How often the platform's store has come back from a copy, as it tells; 0 where it does not.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

/// A version of the platform's store. Where that comes back from a copy, versions go back and
/// are given out again, so those of two eras have no order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StorePosition {
    /// Era in which the store gave it out.
    pub era: StoreEra,
    /// Version in that era.
    pub version: u64,
}

/// Positions of two eras were compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("versions of eras {0} and {1} of the platform's store say nothing of each other")]
pub struct EraMismatch(pub u64, pub u64);

impl StorePosition {
    /// The order of two versions of one era.
    ///
    /// # Errors
    /// [`EraMismatch`] where they are of two eras.
    pub fn compare(
        self,
        other: StorePosition,
    ) -> Result<Ordering, EraMismatch> {
        match self.era == other.era {
            true => Ok(self.version.cmp(&other.version)),
            false => Err(EraMismatch(self.era.0, other.era.0)),
        }
    }

    /// Whether it was told later: in one era by its version, else in the later era. What the
    /// later one shows may be from before, until its writer has written it again.
    pub fn is_told_after(
        self,
        other: StorePosition,
    ) -> bool {
        match self.compare(other) {
            Ok(order) => order == Ordering::Greater,
            Err(_) => self.era > other.era,
        }
    }
}
