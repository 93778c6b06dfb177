use pitchhitch_core::{membership::AgentBeacon, role::AgentPulse};

/// What traffic and beacons see of the control state; replaced as a whole.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// State that answers carry.
    pub pulse: AgentPulse,
    /// What the agent says of itself.
    pub beacon: AgentBeacon,
    /// Whether nothing runs, waits or is carried away.
    pub idle: bool,
    /// Entry processes that get this agent's events.
    pub subscribers: usize,
}
