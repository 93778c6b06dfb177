use {
    crate::{
        callers::{serve_caller, RetryingServer},
        conf::EntrySettings,
        control::{
            poll_boxes, poll_config, receive_beacons, send_beacons, BoxLocation, ControlHandle,
            ControlLoop, ControlMessage, LeaseController, ViewPublisher,
        },
        idempotency::IdempotencyGuard,
        operators::serve_operator,
        traffic::{EntryApp, TrafficView},
    },
    anyhow::Context,
    arc_swap::ArcSwap,
    async_channel::Receiver,
    pitchhitch_core::{
        lease::LeaseTimes,
        role::{EntryCore, EntrySetup},
    },
    pitchhitch_http1::ConnectionCapacity,
    pitchhitch_process::{MetricSet, ProcessClock, SignalListener},
    pitchhitch_services::{
        boxes::BoxClient, config::ConfigStore, objects::ObjectClient, table::TableClient,
    },
    pitchhitch_wire::beacon::{BeaconKey, BeaconSocket},
    smol::{LocalExecutor, Timer},
    std::{
        net::{SocketAddr, TcpListener},
        rc::Rc,
        sync::{atomic::Ordering, Arc},
        thread,
        time::Duration,
    },
    trillium::Conn,
    trillium_server_common::{Config, Stopper},
};

/// Timeout of a request to a service of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait at a planned stop for running requests to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(600);
/// Longest wait at a planned stop for the leases to be released.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Inputs of the control thread.
struct ControlSetup {
    settings: EntrySettings,
    clock: ProcessClock,
    view: Arc<ArcSwap<TrafficView>>,
    control: ControlHandle,
    inbox: Receiver<ControlMessage>,
    app: Arc<EntryApp>,
    table: TableClient,
    peer_address: SocketAddr,
}

/// Runs an entry process until it receives a stop signal and its running requests have ended, or
/// `SHUTDOWN_TIMEOUT` has passed; `reload` reads the settings again.
///
/// # Errors
/// When an address cannot be bound, the metrics socket cannot be opened, or the control thread or
/// the signal handlers cannot be set up.
pub async fn run_entry(
    settings: EntrySettings,
    reload: &dyn Fn() -> Result<EntrySettings, String>,
) -> anyhow::Result<()> {
    let mut signals = SignalListener::start().context("cannot install signal handlers")?;
    let clock = ProcessClock::start();
    let caller_listener = bind(settings.callers)?;
    let operator_listener = bind(settings.operators)?;
    let peer_address = operator_listener.local_addr()?;
    let view = Arc::new(ArcSwap::from_pointee(TrafficView::default()));
    let (message_sender, inbox) = async_channel::unbounded();
    let control = ControlHandle::new(message_sender);
    let table = TableClient::new(settings.table, PLATFORM_TIMEOUT);
    let metrics =
        Arc::new(MetricSet::new(settings.metrics).context("cannot open the metrics socket")?);
    let idempotency = IdempotencyGuard::start(table.clone(), clock.incarnation());
    let app = Arc::new(EntryApp::new(
        settings.clone(),
        clock,
        view.clone(),
        control.clone(),
        idempotency,
        metrics,
    ));
    start_control(ControlSetup {
        settings: settings.clone(),
        clock,
        view,
        control: control.clone(),
        inbox,
        app: app.clone(),
        table,
        peer_address,
    })
    .await?;
    let stopper = Stopper::new();
    let caller_app = app.clone();
    let caller_server = Config::<RetryingServer, ()>::new()
        .with_nodelay()
        .without_signals()
        .with_stopper(stopper.clone())
        .with_prebound_server(smol::net::TcpListener::from(smol::Async::new(
            caller_listener,
        )?))
        .spawn(move |conn: Conn| serve_caller(caller_app.clone(), conn));
    let operator_app = app.clone();
    let _operator_server = Config::<RetryingServer, ()>::new()
        .with_max_connections(Some(ConnectionCapacity::of_process(None).for_service()))
        .without_signals()
        .with_prebound_server(smol::net::TcpListener::from(smol::Async::new(
            operator_listener,
        )?))
        .spawn(move |conn: Conn| serve_operator(operator_app.clone(), conn));
    log::info!(
        event = "started",
        entry = settings.box_id.as_str(),
        callers = settings.callers.to_string().as_str(),
        incarnation = clock.incarnation();
        ""
    );
    let stopped = signals.wait_for_stop(&settings, reload).await;
    stopped.context("cannot receive signals")?;
    log::info!(event = "stopping", entry = settings.box_id.as_str(); "");
    app.stopping.store(true, Ordering::Relaxed);
    // The load balancer needs time to notice that the process is no longer ready.
    Timer::after(settings.stop_notice).await;
    stopper.stop();
    wait_with_timeout(SHUTDOWN_TIMEOUT, caller_server).await;
    wait_with_timeout(LEASE_RELEASE_TIMEOUT, control.release_leases()).await;
    log::info!(event = "stopped", entry = settings.box_id.as_str(), cut_off = app.limits().running(); "");
    Ok(())
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address);
    listener.with_context(|| format!("cannot listen on {address}"))
}

/// Waits for a future to complete, at most for `timeout`.
async fn wait_with_timeout(
    timeout: Duration,
    future: impl std::future::IntoFuture<Output = ()>,
) {
    futures_lite::future::or(future.into_future(), async {
        Timer::after(timeout).await;
    })
    .await;
}

/// Starts the control thread, with the tasks that send it messages.
async fn start_control(setup: ControlSetup) -> anyhow::Result<()> {
    let secret = setup.settings.beacon_secret.clone().unwrap_or_default();
    let key = BeaconKey::from_secret(&secret);
    let socket = BeaconSocket::bind(setup.settings.beacons, key).await;
    let address = setup.settings.beacons;
    let socket = Arc::new(socket.with_context(|| format!("cannot receive beacons on {address}"))?);
    let thread = thread::Builder::new().name("control".to_string());
    thread.spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        smol::block_on(executor.run(run_control(setup, socket, executor.clone())))
    })?;
    Ok(())
}

async fn run_control(
    setup: ControlSetup,
    socket: Arc<BeaconSocket>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let settings = &setup.settings;
    let core = EntryCore::new(EntrySetup {
        box_id: settings.box_id.clone(),
        holder: format!("{}.{:x}", settings.box_id, setup.clock.incarnation()),
        policy: settings.policy,
        lease: LeaseTimes::default(),
    });
    let object_client = ObjectClient::new(settings.objects, PLATFORM_TIMEOUT);
    let config_store = ConfigStore::new(setup.table.clone(), object_client);
    let location = BoxLocation {
        box_id: settings.box_id.clone(),
        failure_domain: settings.failure_domain.clone(),
    };
    let box_client = BoxClient::new(settings.boxes, PLATFORM_TIMEOUT);
    let (peer_sender, peer_inbox) = async_channel::bounded(8);
    let control = setup.control.clone();
    let config_poll = poll_config(
        config_store,
        control.clone(),
        settings.table_poll,
        setup.clock.incarnation(),
    );
    executor.spawn(config_poll).detach();
    executor
        .spawn(poll_boxes(
            box_client,
            location,
            control.clone(),
            peer_sender,
        ))
        .detach();
    executor
        .spawn(receive_beacons(socket.clone(), setup.app.clone()))
        .detach();
    let beacon_sender = send_beacons(
        socket,
        setup.app.clone(),
        control.clone(),
        peer_inbox,
        setup.peer_address,
    );
    executor.spawn(beacon_sender).detach();
    let leases = LeaseController {
        table: setup.table.clone(),
        control,
        clock: setup.clock,
    };
    let publisher = ViewPublisher::new(setup.view.clone());
    let entry_id = settings.box_id.clone();
    let control_loop = ControlLoop::new(core, setup.clock, entry_id, publisher, leases, executor);
    control_loop.run(setup.inbox.clone()).await;
}
