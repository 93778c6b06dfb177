use {
    super::{
        control_handle::CoreQuery, drop_plan, list_store, pull_config, send_drop, send_notice,
        send_order, ControlHandle, ControlMessage, LeaseController, LeaseWrite, LinkKeeper,
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
const TICK: Duration = Duration::from_millis(50);
/// Messages taken in one go before the core's view is published.
const BATCH: usize = 1_024;

struct KeptLink {
    _task: Task<()>,
    resync: Sender<()>,
    state: Arc<EndpointState>,
}

/// Runs the core and does what it asks for.
pub struct ControlLoop {
    /// The core.
    pub core: EntryCore,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Id of the process's box.
    pub entry_id: String,
    /// Makes views.
    pub publisher: ViewPublisher,
    /// The thread's own handle.
    pub handle: ControlHandle,
    /// Lease calls.
    pub leases: LeaseController,
    /// Runs the controllers' calls on this thread.
    pub executor: Rc<LocalExecutor<'static>>,
    links: BTreeMap<String, KeptLink>,
    lease_writes: Vec<LeaseWrite>,
    pulling: Arc<AtomicBool>,
}

impl ControlLoop {
    /// A loop over a core that knows nothing yet.
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
            handle: leases.control.clone(),
            leases,
            executor,
            links: BTreeMap::new(),
            lease_writes: Vec::new(),
            pulling: Arc::default(),
        }
    }

    /// Takes messages for good.
    pub async fn run(
        mut self,
        inbox: Receiver<ControlMessage>,
    ) {
        let mut next_tick = Instant::now() + TICK;
        loop {
            let message = future::or(async { Some(inbox.recv().await) }, async {
                Timer::at(next_tick).await;
                None
            });
            match message.await {
                Some(Ok(message)) => self.take(message),
                Some(Err(_)) => return,
                None => {}
            }
            for _ in 0..BATCH {
                match inbox.try_recv() {
                    Ok(message) => self.take(message),
                    Err(_) => break,
                }
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.step(EntryEvent::Tick);
            }
        }
    }

    fn take(
        &mut self,
        message: ControlMessage,
    ) {
        match message {
            ControlMessage::Event(event) => self.step(event),
            ControlMessage::AgentBeacon(beacon) => {
                let link = self.publisher.known_link(&beacon.endpoint_id);
                let own = link.map(|l| l.in_flight()).unwrap_or_default();
                self.step(EntryEvent::AgentBeaconReceived { beacon, own });
            }
            ControlMessage::Query(query) => self.answer(query),
            ControlMessage::Release(done) => self.release(done),
        }
    }

    /// Whoever is told something may act on it at once: traffic must know it too.
    fn answer(
        &mut self,
        query: CoreQuery,
    ) {
        let mut actions = Vec::new();
        self.core.publish(&mut actions);
        for action in actions {
            self.act(action);
        }
        query(&mut self.core, self.clock.now());
    }

    fn step(
        &mut self,
        event: EntryEvent,
    ) {
        let actions = self.core.step(self.clock.now(), event);
        for action in actions {
            self.act(action);
        }
        let writes = std::mem::take(&mut self.lease_writes);
        if !writes.is_empty() {
            self.executor
                .spawn(self.leases.clone().write_all(writes))
                .detach();
        }
    }

    fn act(
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
                if let Some(kept) = self.links.get(&endpoint_id) {
                    let _ = kept.resync.try_send(());
                }
            }
            EntryAction::Notify {
                endpoint_id,
                notice,
            } => {
                if let Some(link) = self.publisher.known_link(&endpoint_id) {
                    self.executor.spawn(send_notice(link, notice)).detach();
                }
            }
            EntryAction::Order { endpoint_id, order } => {
                if let Some(link) = self.publisher.known_link(&endpoint_id) {
                    let control = self.handle.clone();
                    self.executor
                        .spawn(send_order(link, order, control))
                        .detach();
                }
            }
            EntryAction::PullConfig { peer } => self.pull(peer),
            EntryAction::ListStore { store, address } => {
                let control = self.handle.clone();
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
                if let Some(link) = self.publisher.known_link(&endpoint_id) {
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
        let keeper = LinkKeeper {
            entry_id: self.entry_id.clone(),
            state: state.clone(),
            link: self.publisher.link(&state.id),
            control: self.handle.clone(),
            resync: resync_inbox,
        };
        let kept = KeptLink {
            _task: self.executor.spawn(keeper.run()),
            resync,
            state: state.clone(),
        };
        self.links.insert(state.id.clone(), kept);
    }

    fn disconnect(
        &mut self,
        endpoint_id: &str,
    ) {
        self.links.remove(endpoint_id);
        if let Some(link) = self.publisher.known_link(endpoint_id) {
            link.set(None);
        }
        self.publisher.forget(endpoint_id);
    }

    /// Closes a link that hangs and begins anew.
    fn reconnect(
        &mut self,
        endpoint_id: &str,
    ) {
        let Some(kept) = self.links.remove(endpoint_id) else {
            return;
        };
        if let Some(link) = self.publisher.known_link(endpoint_id) {
            link.set(None);
        }
        log::warn!(event = "link-dropped", endpoint = endpoint_id; "its agent is silent");
        self.connect(kept.state.clone());
    }

    fn pull(
        &mut self,
        peer: SocketAddr,
    ) {
        if self.pulling.swap(true, Ordering::Relaxed) {
            return;
        }
        let since = self.core.config().revision;
        let control = self.handle.clone();
        let pulling = self.pulling.clone();
        let task = async move {
            match pull_config(peer, since).await {
                Ok(PeerConfig::Changes(records)) => control.tell(EntryEvent::ChangesRead(records)),
                Ok(PeerConfig::Whole(config)) => {
                    control.tell(EntryEvent::ConfigRead(Arc::new(*config)))
                }
                Err(error) => {
                    let error = error.to_string();
                    log::info!(event = "config-not-pulled", error = error.as_str(); "");
                }
            }
            pulling.store(false, Ordering::Relaxed);
        };
        self.executor.spawn(task).detach();
    }

    fn release(
        &mut self,
        done: Sender<()>,
    ) {
        for action in self.core.release() {
            self.act(action);
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
