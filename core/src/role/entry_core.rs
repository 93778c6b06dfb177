use {
    super::{
        engine_groups, AgentPulse, BoxNotice, BoxRole, ConfigNotice, EndpointRoster, EntryAction,
        EntryEvent, EventBatch, LeaseOutcome, LoadChange, LoadController, PlacementKind,
        PlacementLine, PromptMemory, RosterChange, ShardKeeper, StoreRoster, UpwardEvent,
    },
    crate::{
        conf::{ChangeHistory, ChangeRecord, FleetConfig, PeerConfig},
        drain::{DrainState, DrainView},
        kept::{PieceDirectory, PieceHolder, PieceKey},
        lease::LeaseTimes,
        member::{rendezvous_weight, EntryBeacon, PeerTable},
        place::ReturnLabel,
        route::{EndpointKind, PoolIndex, RoutePolicy, RouteTable, SentLoad},
        time::Micros,
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Buckets of the directory looked at for stale holders at a time.
const SWEEP_STEP: usize = 16;
/// Ticks between two judgements of who is alive.
const JUDGE_TICKS: u64 = 6;
/// Ticks between two looks at leases and load orders.
const PLACEMENT_TICKS: u64 = 10;

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
    stores: StoreRoster,
    pieces: PieceDirectory,
    pools: Arc<PoolIndex>,
    groups: BTreeSet<String>,
    prompts: PromptMemory,
    keeper: ShardKeeper,
    loads: LoadController,
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
            stores: StoreRoster::default(),
            pieces: PieceDirectory::default(),
            pools: Arc::default(),
            groups: BTreeSet::new(),
            prompts: PromptMemory::default(),
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
            EntryEvent::StoreListed { store, pieces } => {
                self.stores.listed(now, &store, &pieces, &mut self.pieces);
                self.table_stale = true;
            }
            EntryEvent::StoreMeasured { store, link_rate } => {
                self.table_stale |= self.stores.measured(&store, link_rate);
            }
            EntryEvent::Routed {
                endpoint_id,
                pieces,
            } => self.routed(now, &endpoint_id, &pieces),
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
            self.stores.ask_lists(now, actions);
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
            entry.awaited_since = None;
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
            UpwardEvent::Cached(piece) => {
                self.pieces.add_bounded(piece, PieceHolder::Endpoint(key))
            }
            UpwardEvent::Evicted(piece) => {
                self.pieces.remove(piece, &PieceHolder::Endpoint(key));
            }
            UpwardEvent::Cleared => {
                self.roster.renew_key(endpoint_id);
                self.pools_stale = true;
            }
            UpwardEvent::Stored(notice) => self.stores.stored(notice, &mut self.pieces),
            UpwardEvent::Missing(notice) => self.stores.missing(&notice, &mut self.pieces),
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
        now: Micros,
        endpoint_id: &str,
        pieces: &[PieceKey],
    ) {
        let Some(entry) = self.roster.get_mut(endpoint_id) else {
            return;
        };
        // A busy agent pulses several times a second; one that does not is frozen.
        entry.awaited_since.get_or_insert(now);
        let key = entry.key;
        for piece in pieces {
            self.pieces.add_bounded(*piece, PieceHolder::Endpoint(key));
        }
        self.table_stale = true;
    }

    /// Frees room on a full store box, if this process controls its group.
    fn evict_pieces(
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
        for id in self.stores.note_boxes(now, &boxes, actions) {
            let reason = "not in the box list".to_string();
            self.log(PlacementKind::StoreLost, &id, reason, actions);
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
        let stores = &self.stores.arena;
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
