use {
    super::{
        agent_work::RunningWork, AgentAction, AgentEvent, AgentIdentity, AgentPulse, CacheMirror,
        ChangeOutcome, ConfigNotice, EndpointEvent, GateWork, ServiceMeter, WorkTicket,
    },
    crate::{
        errors::ErrorKind, lease::OrderFence, limit::FairQueue, membership::AgentBeacon,
        route::LoadReport, time::Micros,
    },
    std::collections::BTreeMap,
};

/// State machine of an agent: the admission gate for requests, the fence for orders and
/// the mirror of its engine's cache.
#[derive(Debug)]
pub struct AgentCore {
    pub(super) identity: AgentIdentity,
    pub(super) queue: FairQueue<WorkTicket>,
    pub(super) queued: BTreeMap<WorkTicket, GateWork>,
    pub(super) running: BTreeMap<WorkTicket, RunningWork>,
    pub(super) fence: OrderFence,
    pub(super) mirror: CacheMirror,
    pub(super) meter: ServiceMeter,
    pub(super) notice: ConfigNotice,
    pub(super) box_leaving: bool,
    pub(super) healthy: bool,
    pub(super) exporting: u32,
    pub(super) taken_up: u64,
    pub(super) loading: Option<String>,
}

impl AgentCore {
    /// Creates the state of a newly started agent. Its endpoint counts as unhealthy until it passes
    /// a health check.
    pub fn new(identity: AgentIdentity) -> Self {
        AgentCore {
            identity,
            queue: FairQueue::default(),
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
            fence: OrderFence::default(),
            mirror: CacheMirror::default(),
            meter: ServiceMeter::default(),
            notice: ConfigNotice {
                revision: 0,
                leaving: false,
                box_leaving: false,
            },
            box_leaving: false,
            healthy: false,
            exporting: 0,
            taken_up: 0,
            loading: None,
        }
    }

    /// Applies one event and returns the actions to execute.
    pub fn step(
        &mut self,
        now: Micros,
        event: AgentEvent,
    ) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        match event {
            AgentEvent::Tick => self.tick(now, &mut actions),
            AgentEvent::HandedOver { ticket, work } => {
                self.on_handed_over(now, ticket, work, &mut actions)
            }
            AgentEvent::Sent { ticket, prompt } => {
                self.on_sent(now, ticket);
                if let Some(prompt) = prompt {
                    actions.push(AgentAction::Publish(vec![EndpointEvent::PromptUsed(
                        prompt,
                    )]));
                }
            }
            AgentEvent::StoreFull { store } => {
                actions.push(AgentAction::Publish(vec![EndpointEvent::StoreFull {
                    store,
                }]));
            }
            AgentEvent::FirstToken { ticket, computed } => {
                self.on_first_token(now, ticket, computed)
            }
            AgentEvent::Ended { ticket } => self.on_ended(now, ticket),
            AgentEvent::HealthChecked { healthy, version } => {
                self.on_health_checked(healthy, version, &mut actions)
            }
            AgentEvent::CacheChanged { first, changes } => {
                if self.mirror.apply_changes(first, &changes) == ChangeOutcome::Gap {
                    actions.push(AgentAction::ListCache);
                } else {
                    let events = changes.into_iter().map(EndpointEvent::from).collect();
                    actions.push(AgentAction::Publish(events));
                }
            }
            AgentEvent::CacheListed { next, keys } => {
                let mut events = vec![EndpointEvent::Cleared];
                events.extend(keys.iter().copied().map(EndpointEvent::Cached));
                self.mirror.replace(next, keys);
                actions.push(AgentAction::Publish(events));
            }
            AgentEvent::Stored(notice) => {
                self.mirror.add_stored(notice.clone());
                actions.push(AgentAction::Publish(vec![EndpointEvent::Stored(notice)]));
            }
            AgentEvent::Missing(notice) => {
                self.mirror.remove_stored(&notice);
                actions.push(AgentAction::Publish(vec![EndpointEvent::Missing(notice)]));
            }
            AgentEvent::ExportCountChanged(change) => {
                self.exporting = self.exporting.saturating_add_signed(change);
            }
            AgentEvent::ConfigNoticeReceived(notice) => self.on_config_notice(notice, &mut actions),
            AgentEvent::BoxLeaving => {
                self.box_leaving = true;
                self.refuse_queued(ErrorKind::EndpointLeaving, &mut actions);
            }
            AgentEvent::EpochRead(epoch) => self.fence.on_epoch_read(epoch),
            AgentEvent::OrderReceived(order) => self.on_order(order, &mut actions),
            AgentEvent::OrderEnded(outcome) => self.on_order_ended(outcome, &mut actions),
        }
        self.start_queued(now, &mut actions);
        actions
    }

    fn tick(
        &mut self,
        now: Micros,
        actions: &mut Vec<AgentAction>,
    ) {
        for ticket in self.queue.overdue(now) {
            self.refuse(ticket, ErrorKind::DeadlinePassed, actions);
        }
        if !self.fence.has_epoch() {
            actions.push(AgentAction::ReadEpoch);
        }
    }

    /// Whether new requests are refused because the endpoint or its box is leaving.
    pub fn is_refusing(&self) -> bool {
        self.notice.leaving || self.box_leaving
    }

    /// Whether no request is running or queued and no piece is left to export.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty() && self.exporting == 0
    }

    /// Returns the load of the endpoint, queued requests included.
    pub fn load(&self) -> LoadReport {
        let computing = self.running.values().filter(|r| !r.first_token);
        let computing: u64 = computing.map(|r| u64::from(r.tokens)).sum();
        LoadReport {
            pending_tokens: computing + self.queue.tokens(),
            running: (self.running.len() + self.queue.len()) as u32,
            slots: self.identity.slots,
            token_cost: self.meter.token_cost(),
            service_time: self.meter.service_time(),
            // Every request is refused while weights are being loaded.
            healthy: self.healthy && self.loading.is_none(),
        }
    }

    /// Returns the state that is sent with every batch of events.
    pub fn pulse(&self) -> AgentPulse {
        AgentPulse {
            load: self.load(),
            refusing: self.is_refusing(),
            exporting: self.exporting,
            taken_up: self.taken_up,
        }
    }

    /// Returns all cached and stored pieces as events, for a new subscriber.
    pub fn snapshot(&self) -> Vec<EndpointEvent> {
        self.mirror.snapshot()
    }

    /// Returns the beacon of this agent.
    pub fn beacon(&self) -> AgentBeacon {
        AgentBeacon {
            endpoint_id: self.identity.endpoint_id.clone(),
            kind: self.identity.kind.clone(),
            group: self.identity.group.clone(),
            labels: self.identity.labels.clone(),
            address: self.identity.address,
            incarnation: self.identity.incarnation,
            revision: self.notice.revision,
            pulse: self.pulse(),
        }
    }
}
