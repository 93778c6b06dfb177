use crate::serving::StorePosition;

/// Incarnation of an endpoint on the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListedIncarnation {
    /// Its start, in milliseconds since 1970, if reported.
    pub born: Option<u64>,
    /// Position of its latest row.
    pub row: StorePosition,
}

impl ListedIncarnation {
    /// Whether it is the later one: it was born later or, with equal start times, listed last.
    pub fn is_later_than(
        &self,
        other: &ListedIncarnation,
    ) -> bool {
        match self.born == other.born {
            true => self.row.is_newer_than(other.row),
            false => self.born > other.born,
        }
    }
}
