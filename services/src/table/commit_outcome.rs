use crate::http::CallError;

/// Outcome of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit took effect.
    Done {
        /// New versions of the rows, in the order of the writes.
        versions: Vec<u64>,
    },
    /// The commit had no effect: another write came first.
    Conflict {
        /// Keys of the rows that have other versions.
        keys: Vec<String>,
    },
    /// It is unknown whether the commit took effect.
    Unknown {
        /// The error of the call.
        error: CallError,
    },
}
