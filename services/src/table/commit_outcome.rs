use crate::http::CallError;

/// What came of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect; the new versions, in order.
    Done {
        /// New versions.
        versions: Vec<u64>,
    },
    /// It took no effect: another write was first.
    Conflict {
        /// Keys of the rows that had changed.
        keys: Vec<String>,
    },
    /// Nobody knows whether it took effect.
    Unknown {
        /// What happened.
        error: CallError,
    },
}
