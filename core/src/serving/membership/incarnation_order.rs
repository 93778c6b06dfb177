/// How a reported incarnation relates to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// It has ended: reports about it are obsolete.
    Earlier,
    /// It is the same, or no difference is known.
    Same,
    /// It replaces the known one, whose state is obsolete.
    Later,
}

impl IncarnationOrder {
    /// Compares the start times of two incarnations; they count as the same if one is missing.
    pub fn of(
        known: Option<u64>,
        reported: Option<u64>,
    ) -> Self {
        match (known, reported) {
            (Some(known), Some(reported)) if reported < known => IncarnationOrder::Earlier,
            (Some(known), Some(reported)) if reported > known => IncarnationOrder::Later,
            _ => IncarnationOrder::Same,
        }
    }
}
