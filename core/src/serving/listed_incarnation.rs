use super::StorePosition;

/// Which life of an endpoint the list means.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListedIncarnation {
    /// Its start, in milliseconds since 1970, where told.
    pub born: Option<u64>,
    /// Its last row.
    pub row: StorePosition,
}

impl ListedIncarnation {
    /// Whether it is the later one: the one that was born later, or listed last.
    pub fn is_later_than(
        &self,
        other: &ListedIncarnation,
    ) -> bool {
        match self.born == other.born {
            true => self.row.is_told_after(other.row),
            false => self.born > other.born,
        }
    }
}
