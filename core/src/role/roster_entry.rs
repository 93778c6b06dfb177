use {
    super::{AgentPulse, ConfigNotice},
    crate::{labels::LabelSet, retry::OutlierGuard, route::EndpointKey, time::Micros},
};

/// One endpoint as the control state has it.
#[derive(Debug, Clone)]
pub struct RosterEntry {
    /// Its key in the arena.
    pub key: EndpointKey,
    /// Labels from the agent's settings, without those of the operators.
    pub own_labels: LabelSet,
    /// Whether its link is up and its event stream open.
    pub linked: bool,
    /// Whether its agent says that it refuses new work.
    pub refusing: bool,
    /// Pieces that its agent still exports.
    pub exporting: u32,
    /// When its agent was last heard, by beacon or link.
    pub received_at: Micros,
    /// Word that it owes since it was sent something.
    pub awaited_report: Option<AwaitedReport>,
    /// Number that the next event of its stream must have.
    pub next_event: Option<u64>,
    /// Configuration revision that its agent has confirmed.
    pub revision: u64,
    /// Notice that was sent to it last.
    pub last_notice: Option<ConfigNotice>,
    /// Version that an order under way will give it.
    pub loading: Option<String>,
    /// Watches its failures.
    pub guard: OutlierGuard,
}

/// Word that an agent with work must give soon, by beacon or link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AwaitedReport {
    /// Since when it is owed.
    pub since: Micros,
    /// Hand-overs that a report must count to be about all that was sent there.
    pub min_taken_up: u64,
}

impl AwaitedReport {
    /// What is still owed after a report. One that was on its way when the agent
    /// took work up shows that it was alive then, and says nothing of that work.
    pub(super) fn after_report(
        self,
        pulse: AgentPulse,
        now: Micros,
    ) -> Option<AwaitedReport> {
        let open = pulse.taken_up < self.min_taken_up;
        open.then_some(AwaitedReport { since: now, ..self })
    }
}
