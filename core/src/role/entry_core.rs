use {
    super::{
        EndpointRoster, EntryAction, EntryEvent, LeaseOutcome, PlacementKind, PlacementLine,
        PromptHistory, ShardLeases, StoreRoster, WeightLoadController,
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

/// Ticks between two liveness checks.
const LIVENESS_TICKS: u64 = 6;
/// Ticks between two updates of leases and weight load orders.
const PLACEMENT_TICKS: u64 = 10;

/// Time without contact with the table after which a process without live peers is not ready.
const CONTACT_TIMEOUT: Micros = Micros::from_secs(5);
/// Time for which a process that has not reached the table collects peer beacons before it
/// assumes that the highest revision among them is the latest one.
const PEER_SETTLE_TIME: Micros = Micros::from_secs(2);

/// Number of entry processes per failure domain that poll the table at the short interval.
const POLLERS_PER_DOMAIN: usize = 3;
/// Key for the rendezvous hashing that selects them.
const POLL_SUBJECT: &str = "config-poll";

/// Settings of an [`EntryCore`].
#[derive(Debug, Clone)]
pub struct EntrySetup {
    /// Id of the box of this process.
    pub box_id: String,
    /// Lease holder name, unique to this incarnation of the process.
    pub holder: String,
    /// Routing policy.
    pub policy: RoutePolicy,
    /// Durations of leases.
    pub lease: LeaseTimes,
}

/// State machine of an entry process: configuration, endpoints, peers, stores and leases.
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
    pub(super) prompts: PromptHistory,
    pub(super) shard_leases: ShardLeases,
    pub(super) weight_load_controller: WeightLoadController,
    pub(super) leaving_boxes: BTreeSet<String>,
    pub(super) domain_entries: Vec<String>,
    pub(super) sweep_cursor: usize,
    pub(super) pools_stale: bool,
    pub(super) route_table_stale: bool,
    pub(super) notices_due: bool,
    pub(super) ticks: u64,
    pub(super) table_reached_at: Option<Micros>,
    pub(super) first_peer_at: Option<Micros>,
}

impl EntryCore {
    /// Creates an empty state.
    pub fn new(setup: EntrySetup) -> Self {
        EntryCore {
            shard_leases: ShardLeases::new(&setup.box_id, &setup.holder, setup.lease),
            weight_load_controller: WeightLoadController::default(),
            setup,
            config: Arc::default(),
            history: ChangeHistory::default(),
            roster: EndpointRoster::default(),
            peers: PeerTable::default(),
            stores: StoreRoster::default(),
            pieces: PieceDirectory::default(),
            pools: Arc::default(),
            groups: BTreeSet::new(),
            prompts: PromptHistory::default(),
            leaving_boxes: BTreeSet::new(),
            domain_entries: Vec::new(),
            sweep_cursor: 0,
            pools_stale: false,
            route_table_stale: false,
            notices_due: false,
            ticks: 0,
            table_reached_at: None,
            first_peer_at: None,
        }
    }

    /// Applies one event and returns the actions to execute.
    pub fn step(
        &mut self,
        now: Micros,
        event: EntryEvent,
    ) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        match event {
            EntryEvent::Tick => self.tick(now, &mut actions),
            EntryEvent::TableReached => self.table_reached_at = Some(now),
            EntryEvent::ChangesRead(records) => self.on_changes_read(records, &mut actions),
            EntryEvent::ConfigRead(config) => self.on_config_read(config, &mut actions),
            EntryEvent::AgentBeaconReceived { beacon, own } => {
                self.on_agent_beacon(now, beacon, own, &mut actions)
            }
            EntryEvent::PeerBeaconReceived(beacon) => {
                self.on_peer_beacon(now, beacon, &mut actions)
            }
            EntryEvent::AgentEventsReceived {
                endpoint_id,
                incarnation,
                batch,
                own,
            } => self.on_agent_events(now, &endpoint_id, incarnation, batch, own, &mut actions),
            EntryEvent::StreamOpened {
                endpoint_id,
                incarnation,
            } => self.on_stream_opened(now, &endpoint_id, incarnation, &mut actions),
            EntryEvent::LinkLost { endpoint_id } => self.on_link_lost(now, &endpoint_id),
            EntryEvent::PulseReceived {
                endpoint_id,
                pulse,
                own,
            } => self.on_pulse(now, &endpoint_id, pulse, own),
            EntryEvent::BoxesListed(boxes) => self.on_boxes_listed(now, boxes, &mut actions),
            EntryEvent::StoreListed { store, pieces } => {
                self.stores
                    .replace_listing(now, &store, &pieces, &mut self.pieces);
                self.route_table_stale = true;
            }
            EntryEvent::StoreMeasured { store, link_rate } => {
                self.route_table_stale |= self.stores.set_link_rate(&store, link_rate);
            }
            EntryEvent::Routed {
                endpoint_id,
                pieces,
            } => self.on_routed(now, &endpoint_id, &pieces),
            EntryEvent::TakenUp {
                endpoint_id,
                ticket,
            } => self.on_taken_up(now, &endpoint_id, ticket),
            EntryEvent::AttemptEnded {
                endpoint_id,
                failure,
            } => {
                let failed = failure.is_some();
                self.on_attempt_ended(now, &endpoint_id, failed, &mut actions)
            }
            EntryEvent::LeaseRead {
                shard,
                row,
                version,
                requested_at,
            } => {
                let outcome = LeaseOutcome::Read {
                    row,
                    version,
                    requested_at,
                };
                self.shard_leases.apply_outcome(&shard, outcome, now);
            }
            EntryEvent::LeaseWritten { shard, version } => {
                let outcome = LeaseOutcome::Written { version };
                self.shard_leases.apply_outcome(&shard, outcome, now);
            }
            EntryEvent::LeaseWriteConflict { shard } => {
                self.shard_leases
                    .apply_outcome(&shard, LeaseOutcome::Conflict, now);
            }
            EntryEvent::LeaseWriteUnknown { shard } => {
                self.shard_leases
                    .apply_outcome(&shard, LeaseOutcome::Unknown, now);
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
        if self.ticks % LIVENESS_TICKS == 0 {
            self.peers.remove_expired(now);
            self.check_endpoints(now, actions);
            self.sweep_pieces();
            self.stores.request_listings(now, actions);
        }
        if self.ticks % PLACEMENT_TICKS == 0 {
            let config = self.config.clone();
            self.shard_leases
                .tick(now, &self.groups, config.revision, actions);
            self.weight_load_controller.tick(
                now,
                &config,
                &mut self.roster,
                &mut self.shard_leases,
                actions,
            );
        }
        self.notify_agents(actions);
        self.publish(actions);
    }

    pub(super) fn log_decision(
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

    /// Releases all leases, so that other processes can acquire them at once after a planned stop.
    pub fn release_leases(&mut self) -> Vec<EntryAction> {
        self.shard_leases.release()
    }

    /// Whether the load balancer should send requests to this process.
    ///
    /// A configuration must be in force that is not older than the one before a restart, and
    /// the process must have had recent contact with the table or have a live peer.
    pub fn is_ready(
        &self,
        now: Micros,
    ) -> bool {
        let peers_settled = self
            .first_peer_at
            .is_some_and(|t| now.since(t) >= PEER_SETTLE_TIME);
        let config_settled = self.table_reached_at.is_some() || peers_settled;
        let recent_table = self
            .table_reached_at
            .is_some_and(|t| now.since(t) < CONTACT_TIMEOUT);
        let in_contact = recent_table || !self.peers.is_empty();
        self.config.revision > 0 && config_settled && in_contact
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Returns what a peer at revision `since` needs to catch up with this process.
    pub fn config_for_peer(
        &self,
        since: u64,
    ) -> PeerConfig {
        self.history.for_peer(since, &self.config)
    }

    /// Whether this process is among those of its failure domain that poll the table at the short
    /// interval. The others detect newer revisions in peer beacons.
    pub fn polls_table(&self) -> bool {
        let own = rendezvous_weight(POLL_SUBJECT, &self.setup.box_id);
        let ahead = self.domain_entries.iter();
        let ahead = ahead.filter(|id| rendezvous_weight(POLL_SUBJECT, id) > own);
        ahead.count() < POLLERS_PER_DOMAIN
    }

    /// Returns the other entry processes.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns the endpoints.
    pub fn roster(&self) -> &EndpointRoster {
        &self.roster
    }

    /// Number of pieces in the directory.
    pub fn piece_count(&self) -> usize {
        self.pieces.len()
    }

    /// Number of prompts in the history.
    pub fn prompt_count(&self) -> usize {
        self.prompts.len()
    }

    /// Returns the shards whose lease this process holds.
    pub fn held_shards(
        &self,
        now: Micros,
    ) -> Vec<String> {
        self.shard_leases.held_shards(now)
    }

    /// Returns the progress of the drain of an endpoint.
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
            report_age: entry.map(|e| now.since(e.received_at)),
        })
    }
}
