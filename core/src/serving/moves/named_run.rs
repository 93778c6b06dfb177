use serde::{Deserialize, Serialize};

/// Why a run is to leave its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveCause {
    /// The engine's memory is about to run out, and it would preempt the run.
    Memory,
    /// The engine is leaving.
    Leaving,
    /// An order to load other weights waits until the runs have ended.
    Swap,
}

impl MoveCause {
    /// Name for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            MoveCause::Memory => "memory",
            MoveCause::Leaving => "leaving",
            MoveCause::Swap => "swap",
        }
    }
}

/// A run that the agent of an engine names to be moved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRun {
    /// Id of the request.
    pub request_id: String,
    /// Why it is to be moved.
    pub cause: MoveCause,
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// Events that it has produced.
    pub events: u64,
}
