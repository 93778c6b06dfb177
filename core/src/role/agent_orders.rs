//! What an agent is told: by its engine's health, by the configuration, by orders.

use {
    super::{
        AgentAction, AgentCore, ConfigNotice, EndpointOrder, OrderOutcome, StampedOrder,
        UpwardEvent,
    },
    crate::{errors::ErrorKind, route::EndpointKind},
};

impl AgentCore {
    pub(super) fn health_seen(
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

    pub(super) fn noticed(
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

    pub(super) fn ordered(
        &mut self,
        order: StampedOrder,
        actions: &mut Vec<AgentAction>,
    ) {
        match self.fence.admit(order.stamp) {
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

    pub(super) fn order_ended(
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
}
