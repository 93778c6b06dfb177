use {
    super::{
        control_handle::CoreQuery, drop_plan, list_store, pull_config, send_drop, send_notice,
        send_order, ControlHandle, ControlMessage, LeaseController, LeaseWrite, LinkSupervisor,
        ViewPublisher,
    },
    async_channel::{Receiver, Sender},
    futures_lite::future,
    pitchhitch_core::{
        conf::PeerConfig,
        role::{EntryAction, EntryCore, EntryEvent, PlacementLine},
        route::EndpointState,
    },
    pitchhitch_process::ProcessClock,
    smol::{LocalExecutor, Task, Timer},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
};

/// Time between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Most messages handled in a row before a due tick, at which the core's view is published.
const MAX_BATCH_MESSAGES: usize = 1_024;

struct SupervisedLink {
    _task: Task<()>,
    resync: Sender<()>,
    state: Arc<EndpointState>,
}

/// Runs the core on the control thread and executes its actions.
pub struct ControlLoop {
    /// The core.
    pub core: EntryCore,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Id of the box of this process.
    pub entry_id: String,
    /// Publishes views to the traffic threads.
    pub publisher: ViewPublisher,
    /// Handle that sends to this loop.
    pub control: ControlHandle,
    /// Reads and writes lease rows.
    pub leases: LeaseController,
    /// Runs the calls to agents, peers and the platform on this thread.
    pub executor: Rc<LocalExecutor<'static>>,
    links: BTreeMap<String, SupervisedLink>,
    lease_writes: Vec<LeaseWrite>,
    is_pulling: Arc<AtomicBool>,
}

impl ControlLoop {
    /// A loop for a new core, without any links.
    pub fn new(
        core: EntryCore,
        clock: ProcessClock,
        entry_id: String,
        publisher: ViewPublisher,
        leases: LeaseController,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        ControlLoop {
            core,
            clock,
            entry_id,
            publisher,
            control: leases.control.clone(),
            leases,
            executor,
            links: BTreeMap::new(),
            lease_writes: Vec::new(),
            is_pulling: Arc::default(),
        }
    }

    /// Handles messages and ticks until the channel is closed.
    pub async fn run(
        mut self,
        inbox: Receiver<ControlMessage>,
    ) {
        let mut next_tick = Instant::now() + TICK_INTERVAL;
        loop {
            let message = future::or(async { Some(inbox.recv().await) }, async {
                Timer::at(next_tick).await;
                None
            });
            match message.await {
                Some(Ok(message)) => self.handle_message(message),
                Some(Err(_)) => return,
                None => {}
            }
            for _ in 0..MAX_BATCH_MESSAGES {
                match inbox.try_recv() {
                    Ok(message) => self.handle_message(message),
                    Err(_) => break,
                }
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.step(EntryEvent::Tick);
            }
        }
    }

    fn handle_message(
        &mut self,
        message: ControlMessage,
    ) {
        match message {
            ControlMessage::Event(event) => self.step(event),
            ControlMessage::AgentBeacon(beacon) => {
                let link = self.publisher.find_link(&beacon.endpoint_id);
                let own = link.map(|l| l.in_flight()).unwrap_or_default();
                self.step(EntryEvent::AgentBeaconReceived { beacon, own });
            }
            ControlMessage::Query(query) => self.run_query(query),
            ControlMessage::Release(done) => self.release(done),
        }
    }

    /// Runs a query after publishing the current view. The receiver may act on the
    /// result at once, so the traffic threads must see at least the same state.
    fn run_query(
        &mut self,
        query: CoreQuery,
    ) {
        let mut actions = Vec::new();
        self.core.publish(&mut actions);
        for action in actions {
            self.execute(action);
        }
        query(&mut self.core, self.clock.now());
    }

    fn step(
        &mut self,
        event: EntryEvent,
    ) {
        let actions = self.core.step(self.clock.now(), event);
        for action in actions {
            self.execute(action);
        }
        let writes = std::mem::take(&mut self.lease_writes);
        if !writes.is_empty() {
            self.executor
                .spawn(self.leases.clone().write_all(writes))
                .detach();
        }
    }

    fn execute(
        &mut self,
        action: EntryAction,
    ) {
        match action {
            EntryAction::Publish {
                table,
                reuse_model,
                entries,
            } => {
                let ready = self.core.is_ready(self.clock.now());
                self.publisher.publish(table, reuse_model, entries, ready);
            }
            EntryAction::Connect(state) => self.connect(state),
            EntryAction::Disconnect { endpoint_id } => self.disconnect(&endpoint_id),
            EntryAction::DropLink { endpoint_id } => self.reconnect(&endpoint_id),
            EntryAction::Resync { endpoint_id } => {
                if let Some(supervised) = self.links.get(&endpoint_id) {
                    let _ = supervised.resync.try_send(());
                }
            }
            EntryAction::Notify {
                endpoint_id,
                notice,
            } => {
                if let Some(link) = self.publisher.find_link(&endpoint_id) {
                    self.executor.spawn(send_notice(link, notice)).detach();
                }
            }
            EntryAction::Order { endpoint_id, order } => {
                if let Some(link) = self.publisher.find_link(&endpoint_id) {
                    let control = self.control.clone();
                    self.executor
                        .spawn(send_order(link, order, control))
                        .detach();
                }
            }
            EntryAction::PullConfig { peer } => self.start_config_pull(peer),
            EntryAction::ListStore { store, address } => {
                let control = self.control.clone();
                self.executor
                    .spawn(list_store(store, address, control))
                    .detach();
            }
            EntryAction::DropPieces {
                endpoint_id,
                store,
                address,
                pieces,
            } => {
                if let Some(link) = self.publisher.find_link(&endpoint_id) {
                    let plan = drop_plan(store, address, &pieces);
                    self.executor.spawn(send_drop(link, plan)).detach();
                }
            }
            EntryAction::ReadLeases { shards } => {
                self.executor
                    .spawn(self.leases.clone().read(shards))
                    .detach();
            }
            EntryAction::WriteLease {
                shard,
                version,
                row,
            } => self.lease_writes.push(LeaseWrite {
                shard,
                version,
                row,
            }),
            EntryAction::Log(line) => log_placement(&line),
        }
    }

    fn connect(
        &mut self,
        state: Arc<EndpointState>,
    ) {
        let (resync, resync_inbox) = async_channel::bounded(1);
        let supervisor = LinkSupervisor {
            entry_id: self.entry_id.clone(),
            state: state.clone(),
            link: self.publisher.get_or_insert_link(&state.id),
            control: self.control.clone(),
            resync: resync_inbox,
        };
        let supervised = SupervisedLink {
            _task: self.executor.spawn(supervisor.run()),
            resync,
            state: state.clone(),
        };
        self.links.insert(state.id.clone(), supervised);
    }

    fn disconnect(
        &mut self,
        endpoint_id: &str,
    ) {
        self.links.remove(endpoint_id);
        if let Some(link) = self.publisher.find_link(endpoint_id) {
            link.set_connection(None);
        }
        self.publisher.remove_link(endpoint_id);
    }

    /// Closes an unresponsive link and connects again.
    fn reconnect(
        &mut self,
        endpoint_id: &str,
    ) {
        let Some(supervised) = self.links.remove(endpoint_id) else {
            return;
        };
        if let Some(link) = self.publisher.find_link(endpoint_id) {
            link.set_connection(None);
        }
        log::warn!(event = "link-dropped", endpoint = endpoint_id; "no response from the agent; reconnecting");
        self.connect(supervised.state.clone());
    }

    fn start_config_pull(
        &mut self,
        peer: SocketAddr,
    ) {
        if self.is_pulling.swap(true, Ordering::Relaxed) {
            return;
        }
        let since = self.core.config().revision;
        let control = self.control.clone();
        let is_pulling = self.is_pulling.clone();
        let task = async move {
            match pull_config(peer, since).await {
                Ok(PeerConfig::Changes(records)) => {
                    control.send_event(EntryEvent::ChangesRead(records))
                }
                Ok(PeerConfig::Whole(config)) => {
                    control.send_event(EntryEvent::ConfigRead(Arc::new(*config)))
                }
                Err(error) => {
                    let error = error.to_string();
                    log::info!(event = "config-not-pulled", error = error.as_str(); "");
                }
            }
            is_pulling.store(false, Ordering::Relaxed);
        };
        self.executor.spawn(task).detach();
    }

    fn release(
        &mut self,
        done: Sender<()>,
    ) {
        for action in self.core.release_leases() {
            self.execute(action);
        }
        let writes = std::mem::take(&mut self.lease_writes);
        let leases = self.leases.clone();
        let task = async move {
            leases.write_all(writes).await;
            let _ = done.try_send(());
        };
        self.executor.spawn(task).detach();
    }
}

fn log_placement(line: &PlacementLine) {
    log::info!(
        event = "placement",
        decision = line.decision.as_str(),
        subject = line.subject.as_str(),
        reason = line.reason.as_str(),
        revision = line.revision;
        ""
    );
}
