use {
    super::{
        EndpointRoster, EntryAction, EntryEvent, LeaseOutcome, LoadController, PlacementKind,
        PlacementLine, PromptMemory, ShardKeeper, StoreRoster,
    },
    crate::{
        conf::{ChangeHistory, FleetConfig, PeerConfig},
        drain::{DrainInput, DrainState},
        kv_cache::PieceDirectory,
        lease::LeaseTimes,
        membership::{rendezvous_weight, PeerTable},
        route::{PoolIndex, RoutePolicy},
        time::Micros,
    },
    std::{collections::BTreeSet, sync::Arc},
};

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
    pub(super) setup: EntrySetup,
    pub(super) config: Arc<FleetConfig>,
    pub(super) history: ChangeHistory,
    pub(super) roster: EndpointRoster,
    pub(super) peers: PeerTable,
    pub(super) stores: StoreRoster,
    pub(super) pieces: PieceDirectory,
    pub(super) pools: Arc<PoolIndex>,
    pub(super) groups: BTreeSet<String>,
    pub(super) prompts: PromptMemory,
    pub(super) keeper: ShardKeeper,
    pub(super) loads: LoadController,
    pub(super) leaving_boxes: BTreeSet<String>,
    pub(super) domain_entries: Vec<String>,
    pub(super) sweep_from: usize,
    pub(super) pools_stale: bool,
    pub(super) table_stale: bool,
    pub(super) notices_due: bool,
    pub(super) ticks: u64,
    pub(super) table_reached: Option<Micros>,
    pub(super) first_peer: Option<Micros>,
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
            EntryEvent::TakenUp {
                endpoint_id,
                ticket,
            } => self.taken_up(now, &endpoint_id, ticket),
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
            self.peers.remove_expired(now);
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

    pub(super) fn log(
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
        DrainState::evaluate(&DrainInput {
            requested: self.config.is_leaving(endpoint_id),
            refusing: entry.is_some_and(|e| e.refusing),
            running: load.map_or(0, |l| l.report.running),
            exporting: entry.map_or(0, |e| e.exporting),
            report_age: entry.map(|e| now.since(e.heard_at)),
        })
    }
}
