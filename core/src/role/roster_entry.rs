use {
    super::{AgentPulse, ConfigNotice},
    crate::{labels::LabelSet, retry::OutlierGuard, route::EndpointKey, time::Micros},
};

/// State of an endpoint in the [`EndpointRoster`](super::EndpointRoster).
#[derive(Debug, Clone)]
pub struct RosterEntry {
    /// Key in the arena.
    pub key: EndpointKey,
    /// Labels from the agent's settings, without those that operators set.
    pub agent_labels: LabelSet,
    /// Whether the link is up and the event stream open.
    pub linked: bool,
    /// Whether the agent reported that it refuses new requests.
    pub refusing: bool,
    /// Pieces that the agent still has to export.
    pub exporting: u32,
    /// Time of the last message from the agent, by beacon or link.
    pub received_at: Micros,
    /// Report that the agent has to send after it was sent a request.
    pub awaited_report: Option<AwaitedReport>,
    /// Expected sequence number of the next event; none while the stream is not synchronised.
    pub next_event: Option<u64>,
    /// Configuration revision that the agent confirmed.
    pub revision: u64,
    /// Notice last sent to the agent.
    pub last_notice: Option<ConfigNotice>,
    /// Version that it was ordered to load and has not finished loading.
    pub loading: Option<String>,
    /// Detects repeated failures.
    pub guard: OutlierGuard,
}

/// Report that an agent with requests has to send soon, by beacon or link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AwaitedReport {
    /// Time since when it is awaited.
    pub since: Micros,
    /// Minimum [`AgentPulse::taken_up`] of a report that covers all acknowledged requests.
    pub min_taken_up: u64,
}

impl AwaitedReport {
    /// Returns the report that is still awaited after one arrived. A report sent before the
    /// agent accepted the last request proves that the agent was alive then, so the waiting time
    /// restarts, but it does not cover that request.
    pub(super) fn after_report(
        self,
        pulse: AgentPulse,
        now: Micros,
    ) -> Option<AwaitedReport> {
        let pending = pulse.taken_up < self.min_taken_up;
        pending.then_some(AwaitedReport { since: now, ..self })
    }
}
