use serde::{Deserialize, Serialize};

/// Whether a request that failed may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The request is known not to have run.
    NotRun,
    /// The request may have run, partly or completely.
    Unknown,
}

impl RunState {
    /// The value sent to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
        }
    }
}
