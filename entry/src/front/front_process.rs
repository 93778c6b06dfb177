use {
    super::{
        admit_connection, bootstrap_from_peers, handle_control, maintain_endpoints,
        receive_digests, refresh_from_peers, run_fallback_controller, run_rollouts, send_claims,
        send_greetings, send_origins, serve_caller, sync_blocked_rows, sync_software_rows,
        track_engines, watch_contacts, watch_endpoint_list, watch_kv_stores, watch_operator,
        FrontContext, FrontSettings, StopPhase,
    },
    anyhow::Context,
    futures_lite::future::yield_now,
    pitchhitch_core::{
        serving::{MechanismSet, StopWindow, TICK},
        time::Micros,
    },
    pitchhitch_http1::{
        open_connections, serve_paths, ConnectionListener, TcpConnection, TcpKeepalive,
    },
    pitchhitch_process::{finish_log, flush_log, to_duration, SignalListener},
    pitchhitch_wire::engine_agent::DatagramSocket,
    smol::Timer,
    std::{rc::Rc, time::Duration},
};

/// Time until the load balancer stops sending requests to a process that is not ready: it probes
/// once a second and acts on two probes.
const BALANCER_NOTICE_TIME: Micros = Micros::from_millis(2_600);
/// Time in which idle connections detect that they are to be closed.
const IDLE_CLOSE_TIME: Micros = Micros::from_millis(700);
/// Time reserved for closing connections before the stop limit.
const CLOSE_MARGIN: Duration = Duration::from_millis(300);
/// Time for which the reader of the log is waited for after that.
const LOG_TIME: Duration = Duration::from_millis(100);
/// Least time for each phase of a stop, also if the process runs on only after its limit.
const PHASE_TIME: Micros = Micros::from_millis(50);
/// Interval at which a stopping process checks whether it is idle.
const IDLE_CHECK_INTERVAL: Micros = Micros::from_millis(50);

/// Runs a front until a stop signal; `reload` reads the settings again.
///
/// # Errors
/// When an address cannot be bound or the signal handlers cannot be installed.
pub fn run_front(
    settings: FrontSettings,
    reload: &dyn Fn() -> Result<FrontSettings, String>,
) -> anyhow::Result<()> {
    let front = FrontContext::new(settings);
    smol::block_on(front.clone().run(serve(front.clone(), reload)))
}

async fn serve(
    front: Rc<FrontContext>,
    reload: &dyn Fn() -> Result<FrontSettings, String>,
) -> anyhow::Result<()> {
    let settings = front.settings.clone();
    let idle = front.idle_callers.clone();
    let mut signals = SignalListener::start().context("cannot install signal handlers")?;
    let listener = ConnectionListener::bind(settings.callers).await;
    let listener = listener.with_context(|| format!("cannot listen on {}", settings.callers))?;
    let listener = listener.with_idle(idle);
    front.spawn(serve_paths(settings.ready, front.clone(), serve_readiness).await?);
    if let Some(metrics) = settings.metrics {
        front.spawn(serve_paths(metrics, front.clone(), serve_metrics).await?);
    }
    let socket = DatagramSocket::bind(settings.digests).await;
    let socket = socket.with_context(|| format!("cannot listen on {}", settings.digests))?;
    let socket = socket.with_key(settings.peer_key);
    front.spawn(serve_paths(settings.digests, front.clone(), handle_control).await?);
    if let Some(control) = settings.control {
        front.spawn(serve_paths(control, front.clone(), handle_control).await?);
    }
    front.spawn(bootstrap_from_peers(front.clone()));
    front.spawn(refresh_from_peers(front.clone()));
    front.spawn(receive_digests(front.clone(), socket.clone()));
    front.spawn(send_greetings(front.clone(), socket.clone()));
    front.spawn(send_origins(front.clone(), socket.clone()));
    front.spawn(send_claims(front.clone(), socket));
    front.spawn(detect_pauses(front.clone()));
    front.spawn(watch_operator(front.clone()));
    front.spawn(watch_endpoint_list(front.clone()));
    front.spawn(maintain_endpoints(front.clone()));
    front.spawn(watch_contacts(front.clone()));
    front.spawn(track_engines(front.clone()));
    front.spawn(sync_blocked_rows(front.clone()));
    front.spawn(sync_software_rows(front.clone()));
    front.spawn(watch_kv_stores(front.clone()));
    front.spawn(run_fallback_controller(front.clone()));
    front.spawn(run_rollouts(front.clone()));
    front.spawn(accept(front.clone(), listener));
    log::info!(
        event = "started",
        front = settings.box_id.as_str(),
        failure_domain = settings.failure_domain.as_str(),
        callers = settings.callers.to_string().as_str(),
        program = env!("CARGO_PKG_VERSION");
        ""
    );
    if settings.disabled_mechanisms != MechanismSet::default() {
        let names = settings.disabled_mechanisms.names();
        log::warn!(event = "left-out", mechanisms = names.as_str(); "");
    }
    let stopped = signals.wait_for_stop(&front.settings, reload).await;
    stopped.context("cannot receive signals")?;
    shut_down(&front).await;
    finish_log(LOG_TIME);
    Ok(())
}

/// Detects pauses and overload of the process, and flushes the log.
async fn detect_pauses(front: Rc<FrontContext>) {
    loop {
        let now = front.now();
        let gap = front.state().pause_detector.tick(now);
        if let Some(gap) = gap {
            front.state().wants_suspects = true;
            log::warn!(event = "stood-still", gap_ms = gap.as_millis(); "");
            front.metrics.increment("standstills", "seen");
        }
        flush_log();
        let slept_at = front.now();
        Timer::after(to_duration(TICK)).await;
        update_connection_gate(&front, front.now().since(slept_at + TICK));
    }
}

/// Adapts the connections that are accepted to the delay with which a timer of this process fired.
fn update_connection_gate(
    front: &FrontContext,
    delay: Micros,
) {
    let mut state = front.state();
    let has_changed = state.connection_gate.record_delay(delay);
    let is_open = state.connection_gate.is_open();
    drop(state);
    if has_changed {
        log::warn!(
            event = "connection-gate",
            open = is_open,
            delay_ms = delay.as_millis(),
            running = front.requests.running();
            ""
        );
    }
}

async fn accept(
    front: Rc<FrontContext>,
    listener: ConnectionListener,
) {
    loop {
        // The connection before counts as idle, and evicted ones are closed, before the next one is
        // accepted.
        yield_now().await;
        let stream = listener.accept().await;
        // Closed unread, so that the caller's next connection meets another box.
        if !front.state().connection_gate.admits() {
            front.metrics.increment("connections", "refused");
            continue;
        }
        if !admit_connection(&front) {
            continue;
        }
        match TcpConnection::new(stream, &TcpKeepalive::INBOUND) {
            Ok(connection) => front.spawn(serve_caller(front.clone(), connection)),
            Err(error) => {
                let error = error.to_string();
                log::warn!(event = "accept-failed", error = error.as_str(); "");
            }
        }
    }
}

fn serve_readiness(
    front: &FrontContext,
    _target: &str,
) -> (u16, Vec<u8>) {
    match front.state().is_ready(front.now()) {
        true => (200, b"ready\n".to_vec()),
        false => (503, b"not ready\n".to_vec()),
    }
}

fn serve_metrics(
    front: &FrontContext,
    _target: &str,
) -> (u16, Vec<u8>) {
    let state = front.state();
    let reserved = state.prompt_pools.reserved_counts(front.now());
    front.metrics.set_gauge("reserved_engines", reserved);
    let connections = [
        ("open", open_connections()),
        ("idle-callers", front.idle_callers.len()),
        ("caller-limit", front.capacity.for_callers()),
        ("limit", front.capacity.total()),
    ];
    front
        .metrics
        .set_gauge("open_connections", connections.into_iter());
    (200, front.metrics.render().into_bytes())
}

/// Stops gracefully: reports not ready to the load balancer, then serves open requests to their
/// end.
async fn shut_down(front: &FrontContext) {
    let requested_at = front.now();
    front.state().stopping_since = Some(requested_at);
    let limit = front.settings.stop_limit.saturating_sub(CLOSE_MARGIN);
    let exits_at = requested_at + Micros(limit.as_micros() as u64);
    let window = StopWindow::new(requested_at, exits_at);
    front.stop_window.set(Some(window));
    let (running, arriving) = (front.requests.running(), front.requests.arriving());
    log::info!(event = "stopping", running = running, arriving = arriving; "");
    sleep_until(front, requested_at + BALANCER_NOTICE_TIME).await;
    front.state().closes_idle = true;
    sleep_until(front, requested_at + BALANCER_NOTICE_TIME + IDLE_CLOSE_TIME).await;
    wait_until_idle(front, window.answers_by).await;
    for (phase, limit) in [
        (StopPhase::Answering, window.ends_by),
        (StopPhase::Ending, exits_at),
    ] {
        front.requests.begin_phase(phase);
        wait_until_idle(front, limit.max(front.now() + PHASE_TIME)).await;
    }
    log_cut_requests(front);
    let cut_off = front.requests.open().len();
    let waited_ms = front.now().since(requested_at).as_millis();
    log::info!(event = "stopped", cut_off = cut_off, waited_ms = waited_ms; "");
}

/// Sleeps until a time of the process clock; timers do not advance while the box is suspended.
async fn sleep_until(
    front: &FrontContext,
    at: Micros,
) {
    loop {
        let remaining = at.since(front.now());
        if remaining == Micros::ZERO {
            return;
        }
        Timer::after(to_duration(remaining.min(IDLE_CHECK_INTERVAL))).await;
    }
}

/// Waits until no request is open, or until `limit`. Time for which the box was suspended counts: the
/// platform counts it too.
async fn wait_until_idle(
    front: &FrontContext,
    limit: Micros,
) {
    while !front.requests.is_empty() {
        let remaining = limit.since(front.now());
        if remaining == Micros::ZERO {
            return;
        }
        Timer::after(to_duration(remaining.min(IDLE_CHECK_INTERVAL))).await;
    }
}

/// Logs the requests that the exit of the process cuts.
fn log_cut_requests(front: &FrontContext) {
    for request in front.requests.open() {
        log::warn!(
            event = "end",
            request = request.request_id.as_str(),
            outcome = "cut-by-exit",
            stage = request.stage.as_str(),
            took_ms = front.now().since(request.arrived_at).as_millis();
            ""
        );
    }
}
