//! Who can be sent to, and which pieces stay.

use {
    super::{engine_groups, AwaitedWord, EntryAction, EntryCore, PlacementKind, WorkTicket},
    crate::{
        kv_cache::{PieceHolder, PieceKey},
        route::{PoolIndex, RouteTable},
        time::Micros,
    },
    std::sync::Arc,
};

/// Buckets of the directory looked at for stale holders at a time.
const SWEEP_STEP: usize = 16;

impl EntryCore {
    pub(super) fn judge_endpoints(
        &mut self,
        now: Micros,
        actions: &mut Vec<EntryAction>,
    ) {
        let verdict = self.roster.judge(now);
        self.table_stale |= verdict.changed;
        for endpoint_id in verdict.hung_links {
            self.link_lost(now, &endpoint_id);
            actions.push(EntryAction::DropLink { endpoint_id });
        }
        for endpoint_id in verdict.gone {
            self.lose_endpoint(&endpoint_id, "silent", actions);
        }
    }

    /// Publishes a new view if something changed since the last one.
    pub fn publish(
        &mut self,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.pools_stale {
            self.pools = Arc::new(PoolIndex::build(&self.config, &self.roster.arena));
            self.groups = engine_groups(&self.roster);
            self.pools_stale = false;
            self.table_stale = true;
        }
        if !self.table_stale {
            return;
        }
        self.table_stale = false;
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
            returns: self.prompts.model().clone(),
            entries: self.peers.len() as u32 + 1,
        });
    }

    /// Expects the pieces of a prompt where it was sent, so that a quick return
    /// goes there too. If it never gets there, the next one finds out.
    pub(super) fn routed(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        pieces: &[PieceKey],
    ) {
        let Some(entry) = self.roster.get_mut(endpoint_id) else {
            return;
        };
        // A busy agent pulses several times a second; one that does not is frozen.
        entry.awaited.get_or_insert(AwaitedWord {
            since: now,
            taken_up: 0,
        });
        let key = entry.key;
        for piece in pieces {
            self.pieces.add_bounded(*piece, PieceHolder::Endpoint(key));
        }
        self.table_stale = true;
    }

    /// An agent has a request: it owes a report that counts this one.
    pub(super) fn taken_up(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        ticket: WorkTicket,
    ) {
        let Some(entry) = self.roster.get_mut(endpoint_id) else {
            return;
        };
        let word = entry.awaited.get_or_insert(AwaitedWord {
            since: now,
            taken_up: 0,
        });
        word.taken_up = word.taken_up.max(ticket.0 + 1);
    }

    /// Frees room on a full store box, if this process controls its group.
    pub(super) fn evict_pieces(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        store: &str,
        actions: &mut Vec<EntryAction>,
    ) {
        let controls = |group: &str| self.keeper.epoch(group, now).is_some();
        let chance = |identity| self.prompts.chance(identity, now);
        let Some(eviction) = self.stores.evict(now, store, controls, chance) else {
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
        self.log(PlacementKind::PiecesEvicted, store, reason, actions);
    }

    pub(super) fn try_ended(
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
            self.roster.judge(now);
            self.table_stale = true;
            let reason = "failed several times in a row".to_string();
            self.log(PlacementKind::EndpointEjected, endpoint_id, reason, actions);
        }
    }

    pub(super) fn lose_endpoint(
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
        self.log(
            PlacementKind::EndpointLost,
            endpoint_id,
            reason.to_string(),
            actions,
        );
    }

    pub(super) fn sweep_pieces(&mut self) {
        let arena = self.roster.arena.clone();
        let stores = &self.stores.arena;
        self.sweep_from = self
            .pieces
            .sweep(self.sweep_from, SWEEP_STEP, |holder| match holder {
                PieceHolder::Endpoint(key) => !arena.contains_key(*key),
                PieceHolder::Store(copy) => !stores.contains_key(copy.store),
            });
    }
}
