/// What becomes of a part whose weights have been replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReclaimState {
    /// It may still be fetched.
    Fetchable,
    /// Nobody is told to fetch it any more, but some engine may still do so.
    Draining,
    /// Nobody can read it: it may be freed.
    Reclaimable,
}
