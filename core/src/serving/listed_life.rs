use super::StorePosition;

/// Which life of an endpoint the list means.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListedLife {
    /// Its start, in milliseconds since 1970, where told.
    pub born: Option<u64>,
    /// Its last row.
    pub row: StorePosition,
}

impl ListedLife {
    /// Whether it is the later one: the one that was born later, or listed last.
    pub fn is_later_than(
        &self,
        other: &ListedLife,
    ) -> bool {
        match self.born == other.born {
            true => self.row.is_newer_than(other.row),
            false => self.born > other.born,
        }
    }
}
