use serde::{Deserialize, Serialize};

/// Whether a request that failed may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It is proven that the request did not run.
    NotRun,
    /// The request may have run, in part or whole.
    Unknown,
}

impl RunState {
    /// The word that callers see.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
        }
    }
}
