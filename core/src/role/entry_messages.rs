//! Entry events from agents and peers: beacons, event streams and pulses.

use {
    super::{
        AgentPulse, ConfigNotice, EndpointEvent, EntryAction, EntryCore, EventBatch, LoadChange,
        PlacementKind, RosterChange,
    },
    crate::{
        kv_cache::PieceHolder, membership::EntryBeacon, place::ReuseLabel, route::InFlightLoad,
        time::Micros,
    },
};

impl EntryCore {
    pub(super) fn on_agent_beacon(
        &mut self,
        now: Micros,
        beacon: crate::membership::AgentBeacon,
        own: InFlightLoad,
        actions: &mut Vec<EntryAction>,
    ) {
        match self.roster.apply_beacon(&beacon, own, &self.config, now) {
            RosterChange::None => {}
            RosterChange::Load => self.route_table_stale = true,
            RosterChange::PoolMembership => {
                self.roster.refresh_states(&self.config);
                self.pools_stale = true;
                self.publish(actions);
            }
            RosterChange::Joined => {
                self.pools_stale = true;
                if let Some(state) = self.roster.state(&beacon.endpoint_id) {
                    actions.push(EntryAction::Connect(state.clone()));
                }
                let reason = format!("incarnation {}", beacon.incarnation);
                self.log_decision(
                    PlacementKind::EndpointJoined,
                    &beacon.endpoint_id,
                    reason,
                    actions,
                );
            }
        }
    }

    pub(super) fn on_peer_beacon(
        &mut self,
        now: Micros,
        beacon: EntryBeacon,
        actions: &mut Vec<EntryAction>,
    ) {
        let newer = beacon.revision > self.config.revision;
        let peer = beacon.peer_address;
        self.peers.on_beacon(beacon, now);
        self.first_peer_at.get_or_insert(now);
        if newer {
            actions.push(EntryAction::PullConfig { peer });
        }
    }

    pub(super) fn on_stream_opened(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        incarnation: u64,
        actions: &mut Vec<EntryAction>,
    ) {
        let known = self.roster.state(endpoint_id).map(|s| s.incarnation);
        if known != Some(incarnation) {
            return;
        }
        self.roster.renew_key(endpoint_id);
        self.pools_stale = true;
        if let Some(entry) = self.roster.get_mut(endpoint_id) {
            entry.linked = true;
            entry.next_event = Some(0);
            entry.received_at = now;
            entry.last_notice = None;
        }
        self.roster.check_liveness(now);
        self.notices_due = true;
        self.notify_agents(actions);
        self.publish(actions);
    }

    pub(super) fn on_link_lost(
        &mut self,
        now: Micros,
        endpoint_id: &str,
    ) {
        if let Some(entry) = self.roster.get_mut(endpoint_id) {
            entry.linked = false;
            entry.awaited_report = None;
            entry.next_event = None;
            entry.loading = None;
        }
        self.roster.check_liveness(now);
        self.route_table_stale = true;
    }

    pub(super) fn on_pulse(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        pulse: AgentPulse,
        own: InFlightLoad,
    ) {
        match self.roster.update_load(endpoint_id, pulse, own, now) {
            LoadChange::None => {}
            LoadChange::Load => self.route_table_stale = true,
            LoadChange::Refusal => {
                self.roster.refresh_states(&self.config);
                self.pools_stale = true;
            }
        }
    }

    pub(super) fn on_agent_events(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        incarnation: u64,
        batch: EventBatch,
        own: InFlightLoad,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.roster.state(endpoint_id).map(|s| s.incarnation) != Some(incarnation) {
            return;
        }
        let Some(entry) = self.roster.get_mut(endpoint_id) else {
            return;
        };
        let Some(expected) = entry.next_event else {
            return;
        };
        if batch.first != expected {
            entry.next_event = None;
            actions.push(EntryAction::Resync {
                endpoint_id: endpoint_id.to_string(),
            });
            return;
        }
        entry.next_event = Some(expected + batch.events.len() as u64);
        self.route_table_stale |= !batch.events.is_empty();
        for event in batch.events {
            self.on_endpoint_event(now, endpoint_id, event, actions);
        }
        self.on_pulse(now, endpoint_id, batch.pulse, own);
        if self.pools_stale {
            self.publish(actions);
        }
    }

    pub(super) fn on_endpoint_event(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        event: EndpointEvent,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(key) = self.roster.get(endpoint_id).map(|e| e.key) else {
            return;
        };
        match event {
            EndpointEvent::Cached(piece) => {
                self.pieces.add_bounded(piece, PieceHolder::Endpoint(key))
            }
            EndpointEvent::Evicted(piece) => {
                self.pieces.remove(piece, &PieceHolder::Endpoint(key));
            }
            EndpointEvent::Cleared => {
                self.roster.renew_key(endpoint_id);
                self.pools_stale = true;
            }
            EndpointEvent::Stored(notice) => self.stores.add_piece(notice, &mut self.pieces),
            EndpointEvent::Missing(notice) => self.stores.remove_piece(&notice, &mut self.pieces),
            EndpointEvent::PromptUsed(prompt) => {
                let label = ReuseLabel {
                    organisation: prompt.organisation,
                    label: prompt.label,
                };
                self.prompts.record(prompt.identity, label, now);
            }
            EndpointEvent::StoreFull { store } => {
                self.evict_pieces(now, endpoint_id, &store, actions)
            }
            EndpointEvent::Version(version) => self.on_version_changed(endpoint_id, version),
            EndpointEvent::OrderEnded(_) => {
                if let Some(entry) = self.roster.get_mut(endpoint_id) {
                    entry.loading = None;
                }
            }
        }
    }

    pub(super) fn notify_agents(
        &mut self,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.config.revision == 0 || !self.notices_due {
            return;
        }
        self.notices_due = false;
        let ids: Vec<String> = self.roster.iter().map(|(id, _)| id.clone()).collect();
        for id in ids {
            let notice = ConfigNotice {
                revision: self.config.revision,
                leaving: self.config.is_leaving(&id),
                // Assumes that the box of an endpoint is listed under the endpoint id.
                box_leaving: self.leaving_boxes.contains(&id),
            };
            let Some(entry) = self.roster.get_mut(&id) else {
                continue;
            };
            let same = entry.last_notice.is_some_and(|n| {
                n.leaving == notice.leaving && n.box_leaving == notice.box_leaving
            });
            if !entry.linked || same {
                continue;
            }
            entry.last_notice = Some(notice);
            actions.push(EntryAction::Notify {
                endpoint_id: id,
                notice,
            });
        }
    }
}
