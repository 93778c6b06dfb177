//! Agent events that carry engine health, configuration and orders.

use {
    super::{
        AgentAction, AgentCore, ConfigNotice, EndpointEvent, EndpointOrder, OrderOutcome,
        StampedOrder,
    },
    crate::{errors::ErrorKind, route::EndpointKind},
};

impl AgentCore {
    pub(super) fn on_health_checked(
        &mut self,
        healthy: bool,
        version: Option<String>,
        actions: &mut Vec<AgentAction>,
    ) {
        if let Some(version) = version {
            self.update_version(version, actions);
        }
        if self.healthy && !healthy {
            self.mirror.clear();
            actions.push(AgentAction::Publish(vec![EndpointEvent::Cleared]));
            self.refuse_queued(ErrorKind::EndpointUnreachable, actions);
        }
        if !self.healthy && healthy {
            actions.push(AgentAction::ListCache);
        }
        self.healthy = healthy;
    }

    /// Adopts the version that the engine reports, which overrides the one from the settings
    /// or from an order. Reports are ignored while a load is in progress.
    fn update_version(
        &mut self,
        reported: String,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.loading.is_some() {
            return;
        }
        if let EndpointKind::Engine { version, .. } = &mut self.identity.kind {
            if *version != reported {
                *version = reported.clone();
                actions.push(AgentAction::Publish(vec![EndpointEvent::Version(reported)]));
            }
        }
    }

    pub(super) fn on_config_notice(
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

    pub(super) fn on_order(
        &mut self,
        order: StampedOrder,
        actions: &mut Vec<AgentAction>,
    ) {
        match self.fence.admit(order.stamp) {
            Ok(()) => {
                if let EndpointOrder::LoadVersion { version } = &order.order {
                    self.loading = Some(version.clone());
                    self.refuse_queued(ErrorKind::WrongVersion, actions);
                    // An empty batch: subscribers get the new pulse without delay.
                    actions.push(AgentAction::Publish(Vec::new()));
                }
                actions.push(AgentAction::RunOrder(order));
            }
            Err(refusal) => actions.push(AgentAction::RefuseOrder(refusal)),
        }
    }

    pub(super) fn on_order_ended(
        &mut self,
        outcome: OrderOutcome,
        actions: &mut Vec<AgentAction>,
    ) {
        self.loading = None;
        let mut events = Vec::new();
        if outcome.failure.is_none() {
            if let EndpointKind::Engine { version, .. } = &mut self.identity.kind {
                *version = outcome.version.clone();
                events.push(EndpointEvent::Version(outcome.version.clone()));
            }
        }
        events.push(EndpointEvent::OrderEnded(outcome));
        actions.push(AgentAction::Publish(events));
    }
}
