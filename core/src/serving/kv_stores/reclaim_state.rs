/// Whether a part whose weights have been replaced can be freed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReclaimState {
    /// It may still be fetched.
    Fetchable,
    /// No new fetches are requested, but an engine may still be fetching it.
    Draining,
    /// It may be freed: its fetches have ended, or `RECLAIM_TIMEOUT` has passed.
    Reclaimable,
}
