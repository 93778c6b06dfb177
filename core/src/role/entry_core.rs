use {
    super::{
        engine_groups, AgentPulse, BoxNotice, BoxRole, ConfigNotice, EndpointRoster, EntryAction,
        EntryEvent, EventBatch, LeaseOutcome, LoadChange, LoadController, MissingNotice,
        PlacementKind, PlacementLine, PromptMemory, RosterChange, ShardKeeper, StoredNotice,
        StoredPiece, UpwardEvent,
    },
    crate::{
        conf::{ChangeHistory, ChangeRecord, FleetConfig, PeerConfig},
        drain::{DrainState, DrainView},
        kept::{PieceDirectory, PieceHolder, PieceKey, StoreTier, StoredCopy},
        lease::LeaseTimes,
        member::{rendezvous_weight, EntryBeacon, PeerTable},
        place::{LedgerPiece, ReturnLabel, StoreLedger},
        route::{EndpointKind, PoolIndex, RoutePolicy, RouteTable, SentLoad, StoreKey, StoreState},
        time::Micros,
    },
    slotmap::SlotMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Link rate of a store box before anything was measured, in bytes a second.
pub const DEFAULT_LINK_RATE: f64 = 1.0e9;
/// Disk rate of a store box, in bytes a second.
pub const DEFAULT_DISK_RATE: f64 = 4.0e8;
/// Buckets of the directory looked at for stale holders at a time.
const SWEEP_STEP: usize = 16;
/// Ticks between two judgements of who is alive.
const JUDGE_TICKS: u64 = 6;
/// Ticks between two looks at leases and load orders.
const PLACEMENT_TICKS: u64 = 10;
/// Pieces that are known at most.
const PIECE_LIMIT: usize = 400_000;
/// Sealed pieces that are remembered until a store box has listed them itself.
const STORED_MEMORY: usize = 20_000;
/// Time between two evictions on one store box.
const EVICT_PAUSE: Micros = Micros::from_millis(200);
/// How often a store box is asked for all that it holds.
const STORE_LIST_INTERVAL: Micros = Micros::from_secs(30);

/// Time without table and peers after which the process wants no new requests.
const CONTACT_PATIENCE: Micros = Micros::from_secs(5);
/// Time for which a process that cannot reach the table listens to its peers
/// before it takes the newest of their configurations for the newest there is.
const PEER_PATIENCE: Micros = Micros::from_secs(2);

/// Entry processes of a failure domain that look at the table often.
const POLLERS: usize = 3;
const POLL_SUBJECT: &str = "config-poll";

/// How an entry process's core is set up.
#[derive(Debug, Clone)]
pub struct EntrySetup {
    /// Id of the process's box.
    pub box_id: String,
    /// Names this life of the process, for leases.
    pub holder: String,
    /// How endpoints are chosen.
    pub policy: RoutePolicy,
    /// Times of leases.
    pub lease: LeaseTimes,
}

/// All control state of an entry process, and its decisions.
#[derive(Debug)]
pub struct EntryCore {
    setup: EntrySetup,
    config: Arc<FleetConfig>,
    history: ChangeHistory,
    roster: EndpointRoster,
    peers: PeerTable,
    stores: SlotMap<StoreKey, StoreState>,
    store_keys: BTreeMap<String, StoreKey>,
    store_listed: BTreeMap<String, Micros>,
    pieces: PieceDirectory,
    pools: Arc<PoolIndex>,
    groups: BTreeSet<String>,
    prompts: PromptMemory,
    keeper: ShardKeeper,
    loads: LoadController,
    ledgers: BTreeMap<String, StoreLedger>,
    evicted_at: BTreeMap<String, Micros>,
    stored_since_list: Vec<StoredNotice>,
    leaving_boxes: BTreeSet<String>,
    domain_entries: Vec<String>,
    sweep_from: usize,
    pools_stale: bool,
    table_stale: bool,
    notices_due: bool,
    ticks: u64,
    table_reached: Option<Micros>,
    first_peer: Option<Micros>,
}

impl EntryCore {
    /// A core that knows nothing yet.
    pub fn new(setup: EntrySetup) -> Self {
        EntryCore {
            keeper: ShardKeeper::new(&setup.box_id, &setup.holder, setup.lease),
            loads: LoadController::default(),
            setup,
            config: Arc::default(),
            history: ChangeHistory::default(),
            roster: EndpointRoster::default(),
            peers: PeerTable::default(),
            stores: SlotMap::default(),
            store_keys: BTreeMap::new(),
            store_listed: BTreeMap::new(),
            pieces: PieceDirectory::default(),
            pools: Arc::default(),
            groups: BTreeSet::new(),
            prompts: PromptMemory::default(),
            ledgers: BTreeMap::new(),
            evicted_at: BTreeMap::new(),
            stored_since_list: Vec::new(),
            leaving_boxes: BTreeSet::new(),
            domain_entries: Vec::new(),
            sweep_from: 0,
            pools_stale: false,
            table_stale: false,
            notices_due: false,
            ticks: 0,
            table_reached: None,
            first_peer: None,
        }
    }

    /// Takes one event and says what to do.
    pub fn step(
        &mut self,
        now: Micros,
        event: EntryEvent,
    ) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        match event {
            EntryEvent::Tick => self.tick(now, &mut actions),
            EntryEvent::TableReached => self.table_reached = Some(now),
            EntryEvent::ChangesRead(records) => self.changes_read(records, &mut actions),
            EntryEvent::ConfigRead(config) => self.config_read(config, &mut actions),
            EntryEvent::AgentHeard { beacon, own } => {
                self.agent_heard(now, beacon, own, &mut actions)
            }
            EntryEvent::PeerHeard(beacon) => self.peer_heard(now, beacon, &mut actions),
            EntryEvent::AgentSaid {
                endpoint_id,
                incarnation,
                batch,
                own,
            } => self.agent_said(now, &endpoint_id, incarnation, batch, own, &mut actions),
            EntryEvent::StreamOpened {
                endpoint_id,
                incarnation,
            } => self.stream_opened(now, &endpoint_id, incarnation, &mut actions),
            EntryEvent::LinkLost { endpoint_id } => self.link_lost(now, &endpoint_id),
            EntryEvent::PulseSeen {
                endpoint_id,
                pulse,
                own,
            } => self.pulse_seen(now, &endpoint_id, pulse, own),
            EntryEvent::BoxesListed(boxes) => self.boxes_listed(now, boxes, &mut actions),
            EntryEvent::StoreListed { store, pieces } => self.store_content(now, &store, pieces),
            EntryEvent::StoreMeasured { store, link_rate } => {
                self.store_measured(&store, link_rate)
            }
            EntryEvent::Routed {
                endpoint_id,
                pieces,
            } => self.routed(&endpoint_id, &pieces),
            EntryEvent::TryEnded {
                endpoint_id,
                failure,
            } => {
                let failed = failure.is_some();
                self.try_ended(now, &endpoint_id, failed, &mut actions)
            }
            EntryEvent::LeaseRead {
                shard,
                row,
                version,
                asked_at,
            } => {
                let outcome = LeaseOutcome::Read {
                    row,
                    version,
                    asked_at,
                };
                self.keeper.outcome(&shard, outcome, now);
            }
            EntryEvent::LeaseWritten { shard, version } => {
                let outcome = LeaseOutcome::Written { version };
                self.keeper.outcome(&shard, outcome, now);
            }
            EntryEvent::LeaseRefused { shard } => {
                self.keeper.outcome(&shard, LeaseOutcome::Refused, now);
            }
            EntryEvent::LeaseUnknown { shard } => {
                self.keeper.outcome(&shard, LeaseOutcome::Unknown, now);
            }
            EntryEvent::OrderFailed { endpoint_id } => {
                if let Some(entry) = self.roster.get_mut(&endpoint_id) {
                    entry.loading = None;
                }
            }
        }
        actions
    }

    fn tick(
        &mut self,
        now: Micros,
        actions: &mut Vec<EntryAction>,
    ) {
        self.ticks += 1;
        if self.ticks % JUDGE_TICKS == 0 {
            self.peers.drop_silent(now);
            self.judge_endpoints(now, actions);
            self.sweep_pieces();
            self.list_stores(now, actions);
        }
        if self.ticks % PLACEMENT_TICKS == 0 {
            let config = self.config.clone();
            self.keeper
                .tick(now, &self.groups, config.revision, actions);
            self.loads
                .tick(now, &config, &mut self.roster, &mut self.keeper, actions);
        }
        self.notify_agents(actions);
        self.publish(actions);
    }

    fn judge_endpoints(
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
            stores: self.stores.clone(),
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

    /// Applies changes that follow on the configuration; others are passed over.
    fn changes_read(
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
        self.history.note(records);
        self.config_read(Arc::new(config), actions);
    }

    fn config_read(
        &mut self,
        config: Arc<FleetConfig>,
        actions: &mut Vec<EntryAction>,
    ) {
        // Revisions never go down, whoever the configuration comes from.
        if config.revision <= self.config.revision {
            return;
        }
        self.config = config;
        self.roster.relabel(&self.config);
        self.pools_stale = true;
        self.notices_due = true;
        self.log(
            PlacementKind::ConfigInForce,
            &self.config.revision.to_string(),
            "newer than the one before".to_string(),
            actions,
        );
        self.notify_agents(actions);
        self.publish(actions);
    }

    fn agent_heard(
        &mut self,
        now: Micros,
        beacon: crate::member::AgentBeacon,
        own: SentLoad,
        actions: &mut Vec<EntryAction>,
    ) {
        match self.roster.heard(&beacon, own, &self.config, now) {
            RosterChange::None => {}
            RosterChange::Load => self.table_stale = true,
            RosterChange::Altered => {
                self.roster.relabel(&self.config);
                self.pools_stale = true;
                self.publish(actions);
            }
            RosterChange::Joined => {
                self.pools_stale = true;
                if let Some(state) = self.roster.state(&beacon.endpoint_id) {
                    actions.push(EntryAction::Connect(state.clone()));
                }
                let reason = format!("incarnation {}", beacon.incarnation);
                self.log(
                    PlacementKind::EndpointJoined,
                    &beacon.endpoint_id,
                    reason,
                    actions,
                );
            }
        }
    }

    fn peer_heard(
        &mut self,
        now: Micros,
        beacon: EntryBeacon,
        actions: &mut Vec<EntryAction>,
    ) {
        let newer = beacon.revision > self.config.revision;
        let peer = beacon.peer_address;
        self.peers.heard(beacon, now);
        self.first_peer.get_or_insert(now);
        if newer {
            actions.push(EntryAction::PullConfig { peer });
        }
    }

    fn stream_opened(
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
            entry.heard_at = now;
            entry.notified = None;
        }
        self.roster.judge(now);
        self.notices_due = true;
        self.notify_agents(actions);
        self.publish(actions);
    }

    fn link_lost(
        &mut self,
        now: Micros,
        endpoint_id: &str,
    ) {
        if let Some(entry) = self.roster.get_mut(endpoint_id) {
            entry.linked = false;
            entry.next_event = None;
            entry.loading = None;
        }
        self.roster.judge(now);
        self.table_stale = true;
    }

    fn pulse_seen(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        pulse: AgentPulse,
        own: SentLoad,
    ) {
        match self.roster.note_load(endpoint_id, pulse, own, now) {
            LoadChange::None => {}
            LoadChange::Load => self.table_stale = true,
            LoadChange::Refusal => {
                self.roster.relabel(&self.config);
                self.pools_stale = true;
            }
        }
    }

    fn agent_said(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        incarnation: u64,
        batch: EventBatch,
        own: SentLoad,
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
        self.table_stale |= !batch.events.is_empty();
        for event in batch.events {
            self.upward(now, endpoint_id, event, actions);
        }
        self.pulse_seen(now, endpoint_id, batch.pulse, own);
        if self.pools_stale {
            self.publish(actions);
        }
    }

    fn upward(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        event: UpwardEvent,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(key) = self.roster.get(endpoint_id).map(|e| e.key) else {
            return;
        };
        match event {
            UpwardEvent::Cached(piece) => self.add_piece(piece, PieceHolder::Endpoint(key)),
            UpwardEvent::Evicted(piece) => {
                self.pieces.remove(piece, &PieceHolder::Endpoint(key));
            }
            UpwardEvent::Cleared => {
                self.roster.renew_key(endpoint_id);
                self.pools_stale = true;
            }
            UpwardEvent::Stored(notice) => self.piece_stored(notice),
            UpwardEvent::Missing(notice) => self.piece_missing(&notice),
            UpwardEvent::PromptUsed(prompt) => {
                let label = ReturnLabel {
                    organisation: prompt.organisation,
                    label: prompt.label,
                };
                self.prompts.saw(prompt.identity, label, now);
            }
            UpwardEvent::StoreFull { store } => {
                self.evict_pieces(now, endpoint_id, &store, actions)
            }
            UpwardEvent::Version(version) => self.version_changed(endpoint_id, version),
            UpwardEvent::OrderEnded(_) => {
                if let Some(entry) = self.roster.get_mut(endpoint_id) {
                    entry.loading = None;
                }
            }
        }
    }

    /// Expects the pieces of a prompt where it was sent, so that a quick return
    /// goes there too. If it never gets there, the next one finds out.
    fn routed(
        &mut self,
        endpoint_id: &str,
        pieces: &[PieceKey],
    ) {
        let Some(key) = self.roster.get(endpoint_id).map(|e| e.key) else {
            return;
        };
        for piece in pieces {
            self.add_piece(*piece, PieceHolder::Endpoint(key));
        }
        self.table_stale = true;
    }

    fn piece_stored(
        &mut self,
        notice: StoredNotice,
    ) {
        let Some(&store) = self.store_keys.get(&notice.store) else {
            return;
        };
        let copy = StoredCopy {
            store,
            tier: notice.tier,
            generation: notice.generation,
        };
        self.add_piece(notice.key, PieceHolder::Store(copy));
        let piece = LedgerPiece {
            key: notice.key,
            generation: notice.generation,
        };
        let ledger = self.ledgers.entry(notice.store.clone()).or_default();
        ledger.add(notice.identity, piece);
        if self.stored_since_list.len() < STORED_MEMORY {
            self.stored_since_list.push(notice);
        }
    }

    /// Frees room on a full store box. Only the holder of the group's lease does
    /// it, so that several processes do not each free their part.
    fn evict_pieces(
        &mut self,
        now: Micros,
        endpoint_id: &str,
        store: &str,
        actions: &mut Vec<EntryAction>,
    ) {
        let key = self.store_keys.get(store);
        let Some(state) = key.and_then(|k| self.stores.get(*k)) else {
            return;
        };
        let evicted_lately = self
            .evicted_at
            .get(store)
            .is_some_and(|at| now.since(*at) < EVICT_PAUSE);
        if evicted_lately || self.keeper.epoch(&state.group, now).is_none() {
            return;
        }
        let address = state.address;
        let Some(ledger) = self.ledgers.get_mut(store) else {
            return;
        };
        let prompts = &self.prompts;
        let evicted = ledger.evict(|identity| prompts.chance(identity, now));
        self.evicted_at.insert(store.to_string(), now);
        let pieces = evicted.iter().map(|piece| StoredPiece {
            key: piece.key,
            tier: StoreTier::Memory,
            generation: piece.generation,
        });
        actions.push(EntryAction::DropPieces {
            endpoint_id: endpoint_id.to_string(),
            store: store.to_string(),
            address,
            pieces: pieces.collect(),
        });
        let reason = format!("full; {} pieces least likely to return", evicted.len());
        self.log(PlacementKind::PiecesEvicted, store, reason, actions);
    }

    /// Forgets a copy, unless a newer one is known by now.
    fn piece_missing(
        &mut self,
        notice: &MissingNotice,
    ) {
        let Some(&store) = self.store_keys.get(&notice.store) else {
            return;
        };
        let mut copies = self.pieces.holders(notice.key);
        let gone = copies.find(|holder| match holder {
            PieceHolder::Store(copy) => copy.store == store && copy.generation == notice.generation,
            PieceHolder::Endpoint(_) => false,
        });
        drop(copies);
        if let Some(holder) = gone {
            self.pieces.remove(notice.key, &holder);
        }
    }

    fn add_piece(
        &mut self,
        piece: PieceKey,
        holder: PieceHolder,
    ) {
        let full = self.pieces.len() >= PIECE_LIMIT;
        if !full || self.pieces.holders(piece).next().is_some() {
            self.pieces.add(piece, holder);
        }
    }

    fn version_changed(
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
            self.roster.set_version(endpoint_id, &kind);
            self.pools_stale = true;
        }
    }

    fn boxes_listed(
        &mut self,
        now: Micros,
        boxes: Vec<BoxNotice>,
        actions: &mut Vec<EntryAction>,
    ) {
        let mut listed = Vec::new();
        let leaving = boxes
            .iter()
            .filter(|b| b.role == BoxRole::Endpoint && b.leaving);
        let leaving: BTreeSet<String> = leaving.map(|b| b.id.clone()).collect();
        if leaving != self.leaving_boxes {
            self.leaving_boxes = leaving;
            self.notices_due = true;
            self.notify_agents(actions);
        }
        self.note_domain(&boxes);
        let entries = boxes.iter().filter(|b| b.role == BoxRole::Entry);
        self.keeper
            .note_entries(entries.map(|b| b.id.clone()).collect());
        for notice in boxes {
            if notice.role == BoxRole::Store && !notice.leaving {
                listed.push(notice.id.clone());
                self.note_store(now, notice, actions);
            }
        }
        let lost: Vec<String> = self
            .store_keys
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in lost {
            if let Some(key) = self.store_keys.remove(&id) {
                self.stores.remove(key);
            }
            self.store_listed.remove(&id);
            self.ledgers.remove(&id);
            self.log(
                PlacementKind::StoreLost,
                &id,
                "not in the box list".to_string(),
                actions,
            );
        }
    }

    fn note_domain(
        &mut self,
        boxes: &[BoxNotice],
    ) {
        let mut entries = boxes.iter().filter(|b| b.role == BoxRole::Entry);
        let own = entries.clone().find(|b| b.id == self.setup.box_id);
        let Some(domain) = own.map(|b| &b.failure_domain) else {
            return;
        };
        let near = entries.by_ref().filter(|b| &b.failure_domain == domain);
        self.domain_entries = near.map(|b| b.id.clone()).collect();
    }

    fn note_store(
        &mut self,
        now: Micros,
        notice: BoxNotice,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(key) = self.store_keys.get(&notice.id) {
            let same = self
                .stores
                .get(*key)
                .is_some_and(|s| s.address == notice.address);
            if same {
                return;
            }
            let old = *key;
            self.stores.remove(old);
        }
        let key = self.stores.insert(StoreState {
            id: notice.id.clone(),
            group: notice.group,
            address: notice.address,
            link_rate: DEFAULT_LINK_RATE,
            link_queue: 0,
            disk_rate: DEFAULT_DISK_RATE,
        });
        self.store_keys.insert(notice.id.clone(), key);
        self.store_listed.insert(notice.id.clone(), now);
        actions.push(EntryAction::ListStore {
            store: notice.id,
            address: notice.address,
        });
    }

    fn list_stores(
        &mut self,
        now: Micros,
        actions: &mut Vec<EntryAction>,
    ) {
        for (id, listed_at) in &mut self.store_listed {
            if now.since(*listed_at) < STORE_LIST_INTERVAL {
                continue;
            }
            *listed_at = now;
            self.stored_since_list.retain(|notice| &notice.store != id);
            let key = self.store_keys.get(id);
            if let Some(state) = key.and_then(|k| self.stores.get(*k)) {
                actions.push(EntryAction::ListStore {
                    store: id.clone(),
                    address: state.address,
                });
            }
        }
    }

    /// Replaces all that is known of a store box by its own list.
    fn store_content(
        &mut self,
        now: Micros,
        store: &str,
        pieces: Vec<StoredPiece>,
    ) {
        let Some(old) = self.store_keys.get(store).copied() else {
            return;
        };
        let Some(state) = self.stores.remove(old) else {
            return;
        };
        let key = self.stores.insert(state);
        self.store_keys.insert(store.to_string(), key);
        self.store_listed.insert(store.to_string(), now);
        for piece in &pieces {
            let copy = StoredCopy {
                store: key,
                tier: piece.tier,
                generation: piece.generation,
            };
            self.add_piece(piece.key, PieceHolder::Store(copy));
        }
        self.reconcile_ledger(store, &pieces);
        // The list may be older than what agents have told since it was asked for.
        for notice in std::mem::take(&mut self.stored_since_list) {
            self.piece_stored(notice);
        }
        self.table_stale = true;
    }

    /// Brings a ledger in line with what the store box lists.
    fn reconcile_ledger(
        &mut self,
        store: &str,
        pieces: &[StoredPiece],
    ) {
        let listed = pieces.iter().map(|piece| LedgerPiece {
            key: piece.key,
            generation: piece.generation,
        });
        let ledger = self.ledgers.entry(store.to_string()).or_default();
        ledger.reconcile(listed.collect());
    }

    fn store_measured(
        &mut self,
        store: &str,
        link_rate: f64,
    ) {
        let key = self.store_keys.get(store);
        if let Some(state) = key.and_then(|k| self.stores.get_mut(*k)) {
            state.link_rate = link_rate.max(1.0);
            self.table_stale = true;
        }
    }

    fn try_ended(
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
            entry.guard.succeeded(now);
            return;
        }
        if entry.guard.failed(now) {
            self.roster.judge(now);
            self.table_stale = true;
            let reason = "failed several times in a row".to_string();
            self.log(PlacementKind::EndpointEjected, endpoint_id, reason, actions);
        }
    }

    fn lose_endpoint(
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

    fn sweep_pieces(&mut self) {
        let arena = self.roster.arena.clone();
        let stores = &self.stores;
        self.sweep_from = self
            .pieces
            .sweep(self.sweep_from, SWEEP_STEP, |holder| match holder {
                PieceHolder::Endpoint(key) => !arena.contains_key(*key),
                PieceHolder::Store(copy) => !stores.contains_key(copy.store),
            });
    }

    fn notify_agents(
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
                box_leaving: self.leaving_boxes.contains(&id),
            };
            let Some(entry) = self.roster.get_mut(&id) else {
                continue;
            };
            let same = entry.notified.is_some_and(|n| {
                n.leaving == notice.leaving && n.box_leaving == notice.box_leaving
            });
            if !entry.linked || same {
                continue;
            }
            entry.notified = Some(notice);
            actions.push(EntryAction::Notify {
                endpoint_id: id,
                notice,
            });
        }
    }

    fn log(
        &self,
        decision: PlacementKind,
        subject: &str,
        reason: String,
        actions: &mut Vec<EntryAction>,
    ) {
        actions.push(EntryAction::Log(PlacementLine {
            decision,
            subject: subject.to_string(),
            reason,
            revision: self.config.revision,
        }));
    }

    /// Hands back what others should take over at once, as at a planned stop.
    pub fn release(&mut self) -> Vec<EntryAction> {
        self.keeper.release()
    }

    /// Whether the balancer should send requests here.
    ///
    /// A configuration must be in force that is sure not to be older than the one
    /// before a restart, and the process must not be cut off.
    pub fn is_ready(
        &self,
        now: Micros,
    ) -> bool {
        let heard_peers = self
            .first_peer
            .is_some_and(|t| now.since(t) >= PEER_PATIENCE);
        let settled = self.table_reached.is_some() || heard_peers;
        let near_table = self
            .table_reached
            .is_some_and(|t| now.since(t) < CONTACT_PATIENCE);
        let in_contact = near_table || !self.peers.is_empty();
        self.config.revision > 0 && settled && in_contact
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// What a peer at a revision needs to come up with this process.
    pub fn for_peer(
        &self,
        since: u64,
    ) -> PeerConfig {
        self.history.for_peer(since, &self.config)
    }

    /// Whether this process is one of those of its failure domain that look at the
    /// table often; the others hear of a newer revision from peers.
    pub fn polls_table(&self) -> bool {
        let own = rendezvous_weight(POLL_SUBJECT, &self.setup.box_id);
        let ahead = self.domain_entries.iter();
        let ahead = ahead.filter(|id| rendezvous_weight(POLL_SUBJECT, id) > own);
        ahead.count() < POLLERS
    }

    /// The other entry processes.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// The endpoints.
    pub fn roster(&self) -> &EndpointRoster {
        &self.roster
    }

    /// Pieces known.
    pub fn piece_count(&self) -> usize {
        self.pieces.len()
    }

    /// Prompts remembered.
    pub fn prompt_count(&self) -> usize {
        self.prompts.len()
    }

    /// Shards whose lease this process holds.
    pub fn held_shards(
        &self,
        now: Micros,
    ) -> Vec<String> {
        self.keeper.held(now)
    }

    /// How far the drain of an endpoint is.
    pub fn drain_state(
        &self,
        endpoint_id: &str,
        now: Micros,
    ) -> DrainState {
        let entry = self.roster.get(endpoint_id);
        let load = entry.and_then(|e| self.roster.loads.get(e.key));
        DrainState::judge(&DrainView {
            wanted: self.config.is_leaving(endpoint_id),
            refusing: entry.is_some_and(|e| e.refusing),
            running: load.map_or(0, |l| l.report.running),
            exporting: entry.map_or(0, |e| e.exporting),
            heard_ago: entry.map(|e| now.since(e.heard_at)),
        })
    }
}
