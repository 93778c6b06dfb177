//! Routing view, liveness of endpoints and eviction of stored pieces.

use {
    super::{engine_groups, AwaitedReport, EntryAction, EntryCore, PlacementKind, WorkTicket},
    crate::{
        kv_cache::{PieceHolder, PieceKey},
        route::{PoolIndex, RouteTable},
        time::Micros,
    },
    std::sync::Arc,
};

/// Buckets of the piece directory that one sweep checks for stale holders.
const SWEEP_BUCKETS: usize = 16;

impl EntryCore {
    pub(super) fn check_endpoints(
        &mut self,
        now: Micros,
        actions: &mut Vec<EntryAction>,
    ) {
        let report = self.roster.check_liveness(now);
        self.route_table_stale |= report.changed;
        for endpoint_id in report.hung_links {
            self.on_link_lost(now, &endpoint_id);
            actions.push(EntryAction::DropLink { endpoint_id });
        }
        for endpoint_id in report.expired {
            self.remove_endpoint(&endpoint_id, "silent", actions);
        }
    }

    /// Publishes a new view if the state changed since the last one.
    pub fn publish(
        &mut self,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.pools_stale {
            self.pools = Arc::new(PoolIndex::build(&self.config, &self.roster.arena));
            self.groups = engine_groups(&self.roster);
            self.pools_stale = false;
            self.route_table_stale = true;
        }
        if !self.route_table_stale {
            return;
        }
        self.route_table_stale = false;
        let table = RouteTable {
            config: self.config.clone(),
            endpoints: self.roster.arena.clone(),
            loads: self.roster.loads.clone(),
            stores: self.stores.arena.clone(),
            pieces: self.pieces.clone(),
            pools: self.pools.clone(),
            policy: self.setup.policy,
        };
        actions.push(EntryAction::Publish {
            table: Arc::new(table),
            reuse_model: self.prompts.model().clone(),
            entries: self.peers.len() as u32 + 1,
        });
    }

    /// Records the pieces of a prompt at the endpoint it was sent to before the engine reports
    /// them, so that a prompt repeated shortly after is routed there too. If the prompt never
    /// arrives there, the next request that relies on the record finds the pieces missing.
    pub(super) fn on_routed(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        pieces: &[PieceKey],
    ) {
        let Some(entry) = self.roster.get_mut(endpoint_id) else {
            return;
        };
        // A busy agent sends a pulse several times per second; without one it counts as frozen.
        entry.awaited_report.get_or_insert(AwaitedReport {
            since: now,
            min_taken_up: 0,
        });
        let key = entry.key;
        for piece in pieces {
            self.pieces.add_bounded(*piece, PieceHolder::Endpoint(key));
        }
        self.route_table_stale = true;
    }

    /// Requires the next report of an agent to cover the request that it acknowledged.
    pub(super) fn on_taken_up(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        ticket: WorkTicket,
    ) {
        let Some(entry) = self.roster.get_mut(endpoint_id) else {
            return;
        };
        let report = entry.awaited_report.get_or_insert(AwaitedReport {
            since: now,
            min_taken_up: 0,
        });
        report.min_taken_up = report.min_taken_up.max(ticket.0 + 1);
    }

    /// Evicts pieces from a full store box if this process holds the lease of its group.
    pub(super) fn evict_pieces(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        store: &str,
        actions: &mut Vec<EntryAction>,
    ) {
        let holds_lease = |group: &str| self.shard_leases.epoch(group, now).is_some();
        let reuse_probability = |identity| self.prompts.reuse_probability(identity, now);
        let Some(eviction) = self
            .stores
            .evict(now, store, holds_lease, reuse_probability)
        else {
            return;
        };
        let reason = format!(
            "full; {} pieces least likely to return",
            eviction.pieces.len()
        );
        actions.push(EntryAction::DropPieces {
            endpoint_id: endpoint_id.to_string(),
            store: store.to_string(),
            address: eviction.address,
            pieces: eviction.pieces,
        });
        self.log_decision(PlacementKind::PiecesEvicted, store, reason, actions);
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        failed: bool,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(entry) = self.roster.get_mut(endpoint_id) else {
            return;
        };
        if !failed {
            entry.guard.record_success(now);
            return;
        }
        if entry.guard.record_failure(now) {
            self.roster.check_liveness(now);
            self.route_table_stale = true;
            let reason = "failed several times in a row".to_string();
            self.log_decision(PlacementKind::EndpointEjected, endpoint_id, reason, actions);
        }
    }

    pub(super) fn remove_endpoint(
        &mut self,
        endpoint_id: &str,
        reason: &str,
        actions: &mut Vec<EntryAction>,
    ) {
        self.roster.remove(endpoint_id);
        self.pools_stale = true;
        actions.push(EntryAction::Disconnect {
            endpoint_id: endpoint_id.to_string(),
        });
        self.log_decision(
            PlacementKind::EndpointLost,
            endpoint_id,
            reason.to_string(),
            actions,
        );
    }

    pub(super) fn sweep_pieces(&mut self) {
        let arena = self.roster.arena.clone();
        let stores = &self.stores.arena;
        self.sweep_cursor = self
            .pieces
            .sweep(self.sweep_cursor, SWEEP_BUCKETS, |holder| match holder {
                PieceHolder::Endpoint(key) => !arena.contains_key(*key),
                PieceHolder::Store(copy) => !stores.contains_key(copy.store),
            });
    }
}
