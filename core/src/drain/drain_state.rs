use {
    crate::time::Micros,
    serde::{Deserialize, Serialize},
};

/// Load reports older than this are not used to evaluate a drain.
pub const MAX_REPORT_AGE: Micros = Micros::from_secs(3);

/// Inputs for evaluating the drain of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainInput {
    /// Whether the configuration requires the endpoint to be drained.
    pub requested: bool,
    /// Whether its agent has confirmed that it refuses new work.
    pub refusing: bool,
    /// Requests running on it, as reported by its agent.
    pub running: u32,
    /// Pieces that its agent has yet to export to a store box.
    pub exporting: u32,
    /// Age of the agent's last report; `None` if there was none.
    pub report_age: Option<Micros>,
}

/// Progress of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// No drain is requested.
    Serving,
    /// The agent has yet to confirm that it refuses new work.
    AwaitingAgent,
    /// There is no recent report from the agent, so the progress is unknown.
    AgentSilent,
    /// Requests are still running.
    Running {
        /// Number of requests.
        requests: u32,
    },
    /// Pieces are still being exported to a store box.
    Exporting {
        /// Number of pieces.
        pieces: u32,
    },
    /// The box may be stopped.
    MayStop,
}

impl DrainState {
    /// Derives the state of a drain from the last report of the agent.
    pub fn evaluate(input: &DrainInput) -> DrainState {
        if !input.requested {
            return DrainState::Serving;
        }
        match input.report_age {
            None => return DrainState::AgentSilent,
            Some(age) if age > MAX_REPORT_AGE => return DrainState::AgentSilent,
            Some(_) => {}
        }
        if !input.refusing {
            return DrainState::AwaitingAgent;
        }
        if input.running > 0 {
            return DrainState::Running {
                requests: input.running,
            };
        }
        if input.exporting > 0 {
            return DrainState::Exporting {
                pieces: input.exporting,
            };
        }
        DrainState::MayStop
    }

    /// Description for operators.
    pub fn describe(&self) -> String {
        match self {
            DrainState::Serving => "serving".to_string(),
            DrainState::AwaitingAgent => "draining: waiting for its agent to confirm".to_string(),
            DrainState::AgentSilent => "unknown: no recent report from its agent".to_string(),
            DrainState::Running { requests } => format!("draining: {requests} requests running"),
            DrainState::Exporting { pieces } => format!("draining: {pieces} pieces to export"),
            DrainState::MayStop => "drained: the box may stop".to_string(),
        }
    }
}
