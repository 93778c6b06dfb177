//! Admission gate of an agent: starts, queues or refuses requests.

use {
    super::{AgentAction, AgentCore, GateRefusal, GateWork, WorkTicket},
    crate::{errors::ErrorKind, route::EndpointKind, time::Micros},
};

/// A started request.
#[derive(Debug, Clone)]
pub(super) struct RunningWork {
    pub(super) tokens: u32,
    started_at: Micros,
    sent_at: Option<Micros>,
    pub(super) first_token: bool,
    is_sole_prefill: bool,
}

impl AgentCore {
    pub(super) fn on_handed_over(
        &mut self,
        now: Micros,
        ticket: WorkTicket,
        work: GateWork,
        actions: &mut Vec<AgentAction>,
    ) {
        self.taken_up = self.taken_up.max(ticket.0 + 1);
        if let Some(kind) = self.refusal_kind(now, &work) {
            actions.push(AgentAction::Refuse(GateRefusal { ticket, kind }));
            return;
        }
        self.queue
            .push(&work.organisation, ticket, work.tokens, work.deadline);
        self.queued.insert(ticket, work);
    }

    fn refusal_kind(
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
        let expected_start = now + self.expected_wait();
        if expected_start > work.deadline {
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

    /// Expected queueing delay of a request that arrives now.
    fn expected_wait(&self) -> Micros {
        let slots = self.identity.slots.max(1);
        let ahead = self.running.len() + self.queue.len();
        let rounds = (ahead as f32 / slots as f32).floor();
        let wait_us = rounds * self.meter.service_time();
        Micros(wait_us as u64)
    }

    pub(super) fn start_queued(
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
            // The version may have changed while the request was queued.
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
                is_sole_prefill: false,
            };
            self.running.insert(next.key, work);
            actions.push(AgentAction::Start(next.key));
        }
    }

    pub(super) fn on_sent(
        &mut self,
        now: Micros,
        ticket: WorkTicket,
    ) {
        let computing = |r: &RunningWork| r.sent_at.is_some() && !r.first_token;
        let busy = self.running.values().any(computing);
        if let Some(work) = self.running.get_mut(&ticket) {
            work.sent_at = Some(now);
            work.is_sole_prefill = !busy;
        }
    }

    pub(super) fn on_first_token(
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
        if let Some(sent_at) = work.sent_at.filter(|_| work.is_sole_prefill) {
            self.meter.record_prefill(tokens, now.since(sent_at));
        }
    }

    pub(super) fn on_ended(
        &mut self,
        now: Micros,
        ticket: WorkTicket,
    ) {
        if let Some(work) = self.running.remove(&ticket) {
            self.meter.record_request(now.since(work.started_at));
            return;
        }
        if self.queue.remove(ticket) {
            self.queued.remove(&ticket);
        }
    }

    pub(super) fn refuse_queued(
        &mut self,
        kind: ErrorKind,
        actions: &mut Vec<AgentAction>,
    ) {
        for ticket in self.queue.keys() {
            self.refuse(ticket, kind, actions);
        }
    }

    pub(super) fn refuse(
        &mut self,
        ticket: WorkTicket,
        kind: ErrorKind,
        actions: &mut Vec<AgentAction>,
    ) {
        self.queue.remove(ticket);
        self.queued.remove(&ticket);
        actions.push(AgentAction::Refuse(GateRefusal { ticket, kind }));
    }
}
