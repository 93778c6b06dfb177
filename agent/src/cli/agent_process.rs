use {
    crate::{
        beacons::send_beacons,
        conf::AgentSettings,
        control::{start_control, ControlHandle},
        endpoint::{watch_endpoint, EndpointClient},
        gate::GateContext,
        links::serve_links,
        tasks::TaskRunner,
        transfers::PieceTransfers,
    },
    anyhow::Context,
    pitchhitch_core::role::{AgentEvent, AgentIdentity},
    pitchhitch_process::{spawn_detached, MetricSet, ProcessClock, SignalListener},
    pitchhitch_services::table::TableClient,
    smol::{net::TcpListener, Timer},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Timeout of a request to the table service.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time between the stop signal and the exit, in which beacons announce that the
/// agent is leaving.
const LEAVE_NOTICE_DELAY: Duration = Duration::from_millis(1_500);
/// Interval at which a stopping agent checks whether it is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an agent until it receives a stop signal and has drained; `reload` reads the settings again.
///
/// # Errors
/// If an address cannot be bound or the signal handlers cannot be installed.
pub async fn run_agent(
    settings: AgentSettings,
    reload: &dyn Fn() -> Result<AgentSettings, String>,
) -> anyhow::Result<()> {
    let mut signals = SignalListener::start().context("cannot install signal handlers")?;
    let clock = ProcessClock::start();
    let settings = Arc::new(settings);
    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.with_context(|| format!("cannot listen on {}", settings.listen))?;
    let identity = identity(&settings, listener.local_addr()?, clock);
    let client = EndpointClient::new(&settings);
    let table = TableClient::new(settings.table, TABLE_TIMEOUT);
    let metrics =
        Arc::new(MetricSet::new(settings.metrics).context("cannot open the metrics socket")?);
    let (handle, control_output) = start_control(identity, clock)?;
    let transfers = PieceTransfers::start(client.clone(), handle.clone(), metrics.clone());
    let task_runner = TaskRunner {
        client: client.clone(),
        table,
        handle: handle.clone(),
        group: settings.group.clone(),
    };
    spawn_detached(task_runner.run(control_output.tasks));
    spawn_detached(watch_endpoint(client.clone(), handle.clone()));
    spawn_detached(send_beacons(settings.clone(), handle.clone()));
    let context = Arc::new(GateContext {
        client,
        handle: handle.clone(),
        transfers,
        metrics,
        clock,
    });
    spawn_detached(serve_links(listener, context));
    log::info!(
        event = "started",
        endpoint = settings.endpoint_id.as_str(),
        listen = settings.listen.to_string().as_str(),
        incarnation = clock.incarnation();
        ""
    );
    let stopped = signals.wait_for_stop(&*settings, reload).await;
    stopped.context("cannot receive signals")?;
    drain(&settings, &handle).await;
    Ok(())
}

fn identity(
    settings: &AgentSettings,
    address: std::net::SocketAddr,
    clock: ProcessClock,
) -> AgentIdentity {
    let mut labels = settings.labels.clone();
    labels.set("failure_domain", &settings.failure_domain);
    labels.set("group", &settings.group);
    AgentIdentity {
        endpoint_id: settings.endpoint_id.clone(),
        kind: settings.kind.clone(),
        group: settings.group.clone(),
        labels,
        address,
        incarnation: clock.incarnation(),
        slots: settings.slots,
        queue_limit: settings.queue_limit,
    }
}

/// Drains the agent: refuses new requests and waits until it is idle, for at most
/// `stop_limit`.
async fn drain(
    settings: &AgentSettings,
    handle: &ControlHandle,
) {
    log::info!(event = "stopping", endpoint = settings.endpoint_id.as_str(); "");
    handle.send_event(AgentEvent::BoxLeaving);
    let requested_at = Instant::now();
    Timer::after(LEAVE_NOTICE_DELAY).await;
    while !handle.is_idle() && requested_at.elapsed() < settings.stop_limit {
        Timer::after(IDLE_POLL_INTERVAL).await;
    }
    // Gives the last bytes of the last responses time to be sent.
    Timer::after(IDLE_POLL_INTERVAL).await;
    let running = handle.view().pulse.load.running;
    log::info!(
        event = "stopped",
        endpoint = settings.endpoint_id.as_str(),
        cut_off = running,
        waited_ms = requested_at.elapsed().as_millis() as u64;
        ""
    );
}
