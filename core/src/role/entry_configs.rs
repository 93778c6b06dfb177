//! Entry events that carry the configuration and the box list.

use {
    super::{BoxRole, EntryAction, EntryCore, ListedBox, PlacementKind},
    crate::{
        conf::{ChangeRecord, FleetConfig},
        route::EndpointKind,
        time::Micros,
    },
    std::{collections::BTreeSet, sync::Arc},
};

impl EntryCore {
    /// Applies changes with consecutive revisions. Records of other revisions are skipped; if a
    /// change cannot be applied, nothing takes effect.
    pub(super) fn on_changes_read(
        &mut self,
        records: Vec<ChangeRecord>,
        actions: &mut Vec<EntryAction>,
    ) {
        let mut config = (*self.config).clone();
        for record in &records {
            let follows = record.revision == config.revision + 1;
            if follows && config.apply(&record.change).is_err() {
                return;
            }
        }
        self.history.append(records);
        self.on_config_read(Arc::new(config), actions);
    }

    pub(super) fn on_config_read(
        &mut self,
        config: Arc<FleetConfig>,
        actions: &mut Vec<EntryAction>,
    ) {
        // The revision never decreases, whatever the source of the configuration.
        if config.revision <= self.config.revision {
            return;
        }
        self.config = config;
        self.roster.refresh_states(&self.config);
        self.pools_stale = true;
        self.notices_due = true;
        self.log_decision(
            PlacementKind::ConfigInForce,
            &self.config.revision.to_string(),
            "newer than the one before".to_string(),
            actions,
        );
        self.notify_agents(actions);
        self.publish(actions);
    }

    pub(super) fn on_version_changed(
        &mut self,
        endpoint_id: &str,
        version: String,
    ) {
        let Some(state) = self.roster.state(endpoint_id) else {
            return;
        };
        if let EndpointKind::Engine { model, .. } = &state.kind {
            let kind = EndpointKind::Engine {
                model: model.clone(),
                version,
            };
            self.roster.set_kind(endpoint_id, &kind);
            self.pools_stale = true;
        }
    }

    pub(super) fn on_boxes_listed(
        &mut self,
        now: Micros,
        boxes: Vec<ListedBox>,
        actions: &mut Vec<EntryAction>,
    ) {
        let leaving = boxes
            .iter()
            .filter(|b| b.role == BoxRole::Endpoint && b.leaving);
        let leaving: BTreeSet<String> = leaving.map(|b| b.id.clone()).collect();
        if leaving != self.leaving_boxes {
            self.leaving_boxes = leaving;
            self.notices_due = true;
            self.notify_agents(actions);
        }
        self.update_domain_entries(&boxes);
        let entries = boxes.iter().filter(|b| b.role == BoxRole::Entry);
        self.shard_leases
            .set_entries(entries.map(|b| b.id.clone()).collect());
        for id in self.stores.update_boxes(now, &boxes, actions) {
            let reason = "not in the box list".to_string();
            self.log_decision(PlacementKind::StoreLost, &id, reason, actions);
        }
    }

    pub(super) fn update_domain_entries(
        &mut self,
        boxes: &[ListedBox],
    ) {
        let mut entries = boxes.iter().filter(|b| b.role == BoxRole::Entry);
        let own = entries.clone().find(|b| b.id == self.setup.box_id);
        let Some(domain) = own.map(|b| &b.failure_domain) else {
            return;
        };
        let same_domain = entries.by_ref().filter(|b| &b.failure_domain == domain);
        self.domain_entries = same_domain.map(|b| b.id.clone()).collect();
    }
}
