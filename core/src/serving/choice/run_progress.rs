use crate::serving::{stable_hash, ReportedRun};

/// Progress of one run in an engine's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunProgress {
    /// Hash of the request's id.
    pub run: u64,
    /// Events produced so far.
    pub events: u64,
    /// Its memory, in tokens.
    pub tokens: u64,
}

impl RunProgress {
    /// Progress of a reported run.
    pub fn of(run: &ReportedRun) -> Self {
        RunProgress {
            run: stable_hash(&run.request_id),
            events: run.events,
            tokens: run.tokens,
        }
    }
}
