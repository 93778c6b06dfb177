use {
    super::{
        AgentAction, AgentEvent, AgentIdentity, AgentPulse, CacheMirror, ConfigNotice,
        EndpointOrder, GateRefusal, GateWork, NewsOutcome, OrderOutcome, ServiceMeter,
        StampedOrder, UpwardEvent, WorkTicket,
    },
    crate::{
        errors::ErrorKind,
        lease::OrderFence,
        limit::FairQueue,
        member::AgentBeacon,
        route::{EndpointKind, LoadReport},
        time::Micros,
    },
    std::collections::BTreeMap,
};

#[derive(Debug, Clone)]
struct RunningWork {
    tokens: u32,
    started_at: Micros,
    sent_at: Option<Micros>,
    first_token: bool,
    alone: bool,
}

/// All decisions of an agent: the gate for requests, the fence for orders and
/// the mirror of its engine's cache.
#[derive(Debug)]
pub struct AgentCore {
    identity: AgentIdentity,
    queue: FairQueue<WorkTicket>,
    queued: BTreeMap<WorkTicket, GateWork>,
    running: BTreeMap<WorkTicket, RunningWork>,
    fence: OrderFence,
    mirror: CacheMirror,
    meter: ServiceMeter,
    notice: ConfigNotice,
    box_leaving: bool,
    healthy: bool,
    exporting: u32,
    taken_up: u64,
    loading: Option<String>,
}

impl AgentCore {
    /// An agent that has just started; its endpoint counts as unhealthy until it answers.
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

    /// Takes one event and says what to do.
    pub fn step(
        &mut self,
        now: Micros,
        event: AgentEvent,
    ) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        match event {
            AgentEvent::Tick => self.tick(now, &mut actions),
            AgentEvent::HandedOver { ticket, work } => {
                self.handed_over(now, ticket, work, &mut actions)
            }
            AgentEvent::Sent { ticket, prompt } => {
                self.sent(now, ticket);
                if let Some(prompt) = prompt {
                    actions.push(AgentAction::Publish(vec![UpwardEvent::PromptUsed(prompt)]));
                }
            }
            AgentEvent::StoreFull { store } => {
                actions.push(AgentAction::Publish(vec![UpwardEvent::StoreFull { store }]));
            }
            AgentEvent::FirstToken { ticket, computed } => self.first_token(now, ticket, computed),
            AgentEvent::Ended { ticket } => self.ended(now, ticket),
            AgentEvent::HealthSeen { healthy, version } => {
                self.health_seen(healthy, version, &mut actions)
            }
            AgentEvent::CacheNews { first, changes } => {
                if self.mirror.apply_news(first, &changes) == NewsOutcome::Gap {
                    actions.push(AgentAction::ListCache);
                } else {
                    let events = changes.into_iter().map(UpwardEvent::from).collect();
                    actions.push(AgentAction::Publish(events));
                }
            }
            AgentEvent::CacheListed { next, keys } => {
                let mut events = vec![UpwardEvent::Cleared];
                events.extend(keys.iter().copied().map(UpwardEvent::Cached));
                self.mirror.replace(next, keys);
                actions.push(AgentAction::Publish(events));
            }
            AgentEvent::Stored(notice) => {
                self.mirror.stored(notice.clone());
                actions.push(AgentAction::Publish(vec![UpwardEvent::Stored(notice)]));
            }
            AgentEvent::Missing(notice) => {
                self.mirror.missing(&notice);
                actions.push(AgentAction::Publish(vec![UpwardEvent::Missing(notice)]));
            }
            AgentEvent::ExportCount(change) => {
                self.exporting = self.exporting.saturating_add_signed(change);
            }
            AgentEvent::Noticed(notice) => self.noticed(notice, &mut actions),
            AgentEvent::BoxLeaving => {
                self.box_leaving = true;
                self.refuse_queued(ErrorKind::EndpointLeaving, &mut actions);
            }
            AgentEvent::EpochRead(epoch) => self.fence.epoch_read(epoch),
            AgentEvent::Ordered(order) => self.ordered(order, &mut actions),
            AgentEvent::OrderEnded(outcome) => self.order_ended(outcome, &mut actions),
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
        if !self.fence.is_armed() {
            actions.push(AgentAction::ReadEpoch);
        }
    }

    fn handed_over(
        &mut self,
        now: Micros,
        ticket: WorkTicket,
        work: GateWork,
        actions: &mut Vec<AgentAction>,
    ) {
        self.taken_up = self.taken_up.max(ticket.0 + 1);
        if let Some(kind) = self.refusal(now, &work) {
            actions.push(AgentAction::Refuse(GateRefusal { ticket, kind }));
            return;
        }
        self.queue
            .push(&work.organisation, ticket, work.tokens, work.deadline);
        self.queued.insert(ticket, work);
    }

    fn refusal(
        &self,
        now: Micros,
        work: &GateWork,
    ) -> Option<ErrorKind> {
        if self.is_refusing() {
            return Some(ErrorKind::EndpointLeaving);
        }
        if !self.has_version(work) {
            return Some(ErrorKind::WrongVersion);
        }
        if !self.healthy {
            return Some(ErrorKind::EndpointUnreachable);
        }
        if self.queue.len() >= self.identity.queue_limit as usize {
            return Some(ErrorKind::EndpointFull);
        }
        let begins = now + self.expected_wait();
        if begins > work.deadline {
            return Some(ErrorKind::EndpointFull);
        }
        None
    }

    fn has_version(
        &self,
        work: &GateWork,
    ) -> bool {
        match (&self.identity.kind, &work.version) {
            (EndpointKind::Engine { version, .. }, Some(wanted)) => {
                version == wanted && self.loading.is_none()
            }
            (EndpointKind::Service { .. }, None) => true,
            _ => false,
        }
    }

    /// Time until work that comes now would be started.
    fn expected_wait(&self) -> Micros {
        let slots = self.identity.slots.max(1);
        let ahead = self.running.len() + self.queue.len();
        let rounds = (ahead as f32 / slots as f32).floor();
        let by_slots = rounds * self.meter.service_time();
        Micros(by_slots as u64)
    }

    fn start_queued(
        &mut self,
        now: Micros,
        actions: &mut Vec<AgentAction>,
    ) {
        while self.running.len() < self.identity.slots as usize {
            let Some(next) = self.queue.pop() else {
                return;
            };
            let Some(work) = self.queued.remove(&next.key) else {
                continue;
            };
            // A swap may have happened while the work was in line.
            if !self.has_version(&work) {
                actions.push(AgentAction::Refuse(GateRefusal {
                    ticket: next.key,
                    kind: ErrorKind::WrongVersion,
                }));
                continue;
            }
            let work = RunningWork {
                tokens: work.tokens,
                started_at: now,
                sent_at: None,
                first_token: false,
                alone: false,
            };
            self.running.insert(next.key, work);
            actions.push(AgentAction::Start(next.key));
        }
    }

    fn sent(
        &mut self,
        now: Micros,
        ticket: WorkTicket,
    ) {
        let computing = |r: &RunningWork| r.sent_at.is_some() && !r.first_token;
        let busy = self.running.values().any(computing);
        if let Some(work) = self.running.get_mut(&ticket) {
            work.sent_at = Some(now);
            work.alone = !busy;
        }
    }

    fn first_token(
        &mut self,
        now: Micros,
        ticket: WorkTicket,
        computed: Option<u32>,
    ) {
        let Some(work) = self.running.get_mut(&ticket) else {
            return;
        };
        if work.first_token {
            return;
        }
        work.first_token = true;
        let tokens = computed.unwrap_or(work.tokens);
        if let Some(sent_at) = work.sent_at.filter(|_| work.alone) {
            self.meter.saw_prefill(tokens, now.since(sent_at));
        }
    }

    fn ended(
        &mut self,
        now: Micros,
        ticket: WorkTicket,
    ) {
        if let Some(work) = self.running.remove(&ticket) {
            self.meter.saw_request(now.since(work.started_at));
            return;
        }
        if self.queue.remove(ticket) {
            self.queued.remove(&ticket);
        }
    }

    fn health_seen(
        &mut self,
        healthy: bool,
        version: Option<String>,
        actions: &mut Vec<AgentAction>,
    ) {
        if let Some(version) = version {
            self.version_seen(version, actions);
        }
        if self.healthy && !healthy {
            self.mirror.forget();
            actions.push(AgentAction::Publish(vec![UpwardEvent::Cleared]));
            self.refuse_queued(ErrorKind::EndpointUnreachable, actions);
        }
        if !self.healthy && healthy {
            actions.push(AgentAction::ListCache);
        }
        self.healthy = healthy;
    }

    /// The engine says what it holds; that beats what the settings or an order said.
    fn version_seen(
        &mut self,
        seen: String,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.loading.is_some() {
            return;
        }
        if let EndpointKind::Engine { version, .. } = &mut self.identity.kind {
            if *version != seen {
                *version = seen.clone();
                actions.push(AgentAction::Publish(vec![UpwardEvent::Version(seen)]));
            }
        }
    }

    fn noticed(
        &mut self,
        notice: ConfigNotice,
        actions: &mut Vec<AgentAction>,
    ) {
        if notice.box_leaving && !self.box_leaving {
            self.box_leaving = true;
            self.refuse_queued(ErrorKind::EndpointLeaving, actions);
        }
        if notice.revision <= self.notice.revision {
            return;
        }
        self.notice = notice;
        if notice.leaving {
            self.refuse_queued(ErrorKind::EndpointLeaving, actions);
        }
    }

    fn ordered(
        &mut self,
        order: StampedOrder,
        actions: &mut Vec<AgentAction>,
    ) {
        match self.fence.pass(order.stamp) {
            Ok(()) => {
                if let EndpointOrder::LoadVersion { version } = &order.order {
                    self.loading = Some(version.clone());
                    self.refuse_queued(ErrorKind::WrongVersion, actions);
                    // No event, but everybody should see the new pulse at once.
                    actions.push(AgentAction::Publish(Vec::new()));
                }
                actions.push(AgentAction::RunOrder(order));
            }
            Err(refusal) => actions.push(AgentAction::RefuseOrder(refusal)),
        }
    }

    fn order_ended(
        &mut self,
        outcome: OrderOutcome,
        actions: &mut Vec<AgentAction>,
    ) {
        self.loading = None;
        let mut events = Vec::new();
        if outcome.failure.is_none() {
            if let EndpointKind::Engine { version, .. } = &mut self.identity.kind {
                *version = outcome.version.clone();
                events.push(UpwardEvent::Version(outcome.version.clone()));
            }
        }
        events.push(UpwardEvent::OrderEnded(outcome));
        actions.push(AgentAction::Publish(events));
    }

    fn refuse_queued(
        &mut self,
        kind: ErrorKind,
        actions: &mut Vec<AgentAction>,
    ) {
        for ticket in self.queue.keys() {
            self.refuse(ticket, kind, actions);
        }
    }

    fn refuse(
        &mut self,
        ticket: WorkTicket,
        kind: ErrorKind,
        actions: &mut Vec<AgentAction>,
    ) {
        self.queue.remove(ticket);
        self.queued.remove(&ticket);
        actions.push(AgentAction::Refuse(GateRefusal { ticket, kind }));
    }

    /// Whether new work is refused because the endpoint is leaving.
    pub fn is_refusing(&self) -> bool {
        self.notice.leaving || self.box_leaving
    }

    /// Whether nothing runs, waits or is carried away any more.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty() && self.exporting == 0
    }

    /// The load of the endpoint.
    pub fn load(&self) -> LoadReport {
        let computing = self.running.values().filter(|r| !r.first_token);
        let computing: u64 = computing.map(|r| u64::from(r.tokens)).sum();
        LoadReport {
            pending_tokens: computing + self.queue.tokens(),
            running: (self.running.len() + self.queue.len()) as u32,
            slots: self.identity.slots,
            token_cost: self.meter.token_cost(),
            service_time: self.meter.service_time(),
            // While weights are loaded every request would be refused.
            healthy: self.healthy && self.loading.is_none(),
        }
    }

    /// State that every batch of events carries.
    pub fn pulse(&self) -> AgentPulse {
        AgentPulse {
            load: self.load(),
            refusing: self.is_refusing(),
            exporting: self.exporting,
            taken_up: self.taken_up,
        }
    }

    /// Everything known of the cache, for a new subscriber.
    pub fn snapshot(&self) -> Vec<UpwardEvent> {
        self.mirror.snapshot()
    }

    /// What the agent says of itself.
    pub fn beacon(&self) -> AgentBeacon {
        AgentBeacon {
            endpoint_id: self.identity.endpoint_id.clone(),
            kind: self.identity.kind.clone(),
            group: self.identity.group.clone(),
            labels: self.identity.labels.clone(),
            address: self.identity.address,
            incarnation: self.identity.incarnation,
            refusing: self.is_refusing(),
            exporting: self.exporting,
            taken_up: self.taken_up,
            revision: self.notice.revision,
            load: self.load(),
        }
    }
}
