use pitchhitch_core::{membership::AgentBeacon, role::AgentPulse};

/// Snapshot of the control state for traffic and beacons, replaced atomically.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// State that is sent with replies.
    pub pulse: AgentPulse,
    /// Current beacon of the agent.
    pub beacon: AgentBeacon,
    /// Whether no request is running or queued and no piece is being exported.
    pub idle: bool,
    /// Number of entry processes that subscribe to this agent's events.
    pub subscribers: usize,
}
