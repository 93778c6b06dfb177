use {
    crate::time::Micros,
    serde::{Deserialize, Serialize},
};

/// Age of a load report beyond which it proves nothing about a drain.
pub const MAX_REPORT_AGE: Micros = Micros::from_secs(3);

/// What is known of an endpoint that may be draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainInput {
    /// Whether the configuration takes the endpoint out of service.
    pub requested: bool,
    /// Whether its agent has said that it refuses new work.
    pub refusing: bool,
    /// Requests that run on it, by its agent's count.
    pub running: u32,
    /// Pieces that its agent still carries to a store box.
    pub exporting: u32,
    /// Age of the agent's last word; none when it was never heard.
    pub report_age: Option<Micros>,
}

/// How far a drain is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// No drain is asked for.
    Serving,
    /// The agent has not confirmed yet that it refuses new work.
    AwaitingAgent,
    /// The agent has not been heard lately, so nobody can tell.
    AgentSilent,
    /// Requests still run.
    Running {
        /// How many.
        requests: u32,
    },
    /// Pieces are still carried to a store box.
    Exporting {
        /// How many.
        pieces: u32,
    },
    /// The box may be stopped.
    MayStop,
}

impl DrainState {
    /// Judges a drain from what is known.
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

    /// What a person is told.
    pub fn describe(&self) -> String {
        match self {
            DrainState::Serving => "serving".to_string(),
            DrainState::AwaitingAgent => "draining: its agent has not confirmed yet".to_string(),
            DrainState::AgentSilent => {
                "unknown: its agent has not been heard for seconds".to_string()
            }
            DrainState::Running { requests } => format!("draining: {requests} requests run"),
            DrainState::Exporting { pieces } => format!("draining: {pieces} pieces to export"),
            DrainState::MayStop => "drained: the box may stop".to_string(),
        }
    }
}
