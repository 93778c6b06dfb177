//! Finds out which endpoints that run requests of this front no longer respond.

use {
    crate::front::{is_engine, FrontContext},
    pitchhitch_core::{
        serving::{
            ContactStage, EndpointKey, EndpointRegistry, EndpointStatus, ProbeOutcome,
            ServingMechanism, CONTACT_PROBE_TIMEOUT, TICK,
        },
        time::Micros,
    },
    pitchhitch_http1::{is_local_failure, HttpClient, HttpFailure, HttpRequest, TcpConnection},
    pitchhitch_platform::REPORT_PATH,
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{
        io::{Error, ErrorKind},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Gap between two checks beyond which this process was paused or busy in between.
const MAX_CHECK_GAP: Micros = Micros(TICK.0 * 2);

/// Probes silent endpoints, and notifies the requests at those that do not respond.
pub(crate) async fn watch_contacts(front: Rc<FrontContext>) {
    if front
        .settings
        .disabled_mechanisms
        .contains(ServingMechanism::ContactProbes)
    {
        return;
    }
    let mut checked_at = front.now();
    loop {
        Timer::after(to_duration(TICK)).await;
        let now = front.now();
        let gap = now.since(checked_at);
        checked_at = now;
        if gap > MAX_CHECK_GAP {
            // What has arrived meanwhile is read first.
            front.state().registry.exclude_silence(gap.since(TICK), now);
            continue;
        }
        notify_waiting(&front, now);
        for key in due_probes(&front, now) {
            front.spawn(probe_contact(front.clone(), key, now));
        }
    }
}

/// Notifies the requests that have waited too long at endpoints that do not respond.
fn notify_waiting(
    front: &FrontContext,
    now: Micros,
) {
    let state = front.state();
    for (key, stage) in state.registry.unresponsive_endpoints() {
        let notified = notify_requests(front, &state.registry, (key, stage), now);
        if notified > 0 {
            let id = state.registry.get(key).map_or("", |entry| &entry.id);
            log::info!(event = "contact-wait", endpoint = id, notified = notified; "");
        }
    }
}

/// Notifies the requests at an endpoint that does not respond; returns their number. Those that
/// cannot be sent elsewhere wait for it to return, until they count as lost.
fn notify_requests(
    front: &FrontContext,
    registry: &EndpointRegistry,
    (key, stage): (EndpointKey, ContactStage),
    now: Micros,
) -> usize {
    let is_final = stage == ContactStage::Lost || registry.has_alternative(key, now);
    let stage = if is_final {
        stage
    } else {
        ContactStage::Responding
    };
    front.contacts.notify(key, stage, now)
}

fn due_probes(
    front: &FrontContext,
    now: Micros,
) -> Vec<EndpointKey> {
    let mut guard = front.state();
    let state = &mut *guard;
    let Some(config) = &state.config else {
        return Vec::new();
    };
    let has_engine = |entry: &_| is_engine(config, entry);
    state.registry.take_due_probes(has_engine, now)
}

async fn probe_contact(
    front: Rc<FrontContext>,
    key: EndpointKey,
    started_at: Micros,
) {
    let outcome = send_probe(&front, key).await;
    let hears_others = front.state().registry.hears_others(key, started_at);
    if outcome == ProbeOutcome::Unanswered && !hears_others {
        probe_control(&front, key).await;
    }
    record_outcome(&front, key, outcome, started_at, front.now());
}

/// Finds out whether this front reaches any other endpoint.
async fn probe_control(
    front: &FrontContext,
    key: EndpointKey,
) {
    let control = front.state().registry.control_endpoint(key);
    if let Some(control) = control {
        if send_probe(front, control).await == ProbeOutcome::Answered {
            record_heard(front, control);
        }
    }
}

async fn send_probe(
    front: &FrontContext,
    key: EndpointKey,
) -> ProbeOutcome {
    let Some((address, has_engine)) = probe_target(front, key) else {
        return ProbeOutcome::Inconclusive;
    };
    front.metrics.increment("links", "contact-probes");
    let started_at = front.now();
    let outcome = match has_engine {
        true => probe_report(address).await,
        false => probe_connection(address).await,
    };
    let is_late = front.now().since(started_at) > CONTACT_PROBE_TIMEOUT + TICK;
    match outcome {
        ProbeOutcome::Unanswered if is_late => ProbeOutcome::Inconclusive,
        outcome => outcome,
    }
}

fn probe_target(
    front: &FrontContext,
    key: EndpointKey,
) -> Option<(SocketAddr, bool)> {
    let state = front.state();
    let config = state.config.as_ref()?;
    let entry = state.registry.get(key)?;
    Some((entry.address, is_engine(config, entry)))
}

/// Probes whether an engine sends its report, which it does however many requests it runs. A paused
/// process still accepts connections.
async fn probe_report(address: SocketAddr) -> ProbeOutcome {
    let mut client = HttpClient::new(address, to_duration(CONTACT_PROBE_TIMEOUT));
    let request = HttpRequest {
        method: "GET",
        target: REPORT_PATH,
        ..HttpRequest::default()
    };
    match client.call(request).await {
        Ok(_) => ProbeOutcome::Answered,
        Err(HttpFailure::TimedOut) => ProbeOutcome::Unanswered,
        Err(HttpFailure::NoConnection(error)) => failed_connection(&error),
        Err(_) => ProbeOutcome::Answered,
    }
}

/// Probes whether the box of an endpoint accepts a connection, or refuses it.
async fn probe_connection(address: SocketAddr) -> ProbeOutcome {
    match TcpConnection::connect(address, to_duration(CONTACT_PROBE_TIMEOUT)).await {
        Ok(connection) => {
            connection.reset_on_drop();
            ProbeOutcome::Answered
        }
        Err(error) => failed_connection(&error),
    }
}

/// What a failed connection tells: a refusal is an answer.
fn failed_connection(error: &Error) -> ProbeOutcome {
    match error.kind() {
        ErrorKind::TimedOut => ProbeOutcome::Unanswered,
        _ if is_local_failure(error) => ProbeOutcome::Inconclusive,
        _ => ProbeOutcome::Answered,
    }
}

fn record_outcome(
    front: &FrontContext,
    key: EndpointKey,
    outcome: ProbeOutcome,
    started_at: Micros,
    now: Micros,
) {
    let mut state = front.state();
    let Some(entry) = state.registry.get(key) else {
        return;
    };
    let silence = entry.contact.silence(now);
    let id = entry.id.clone();
    let running = entry.running;
    let report_age = entry.load.map(|load| now.since(load.at).as_millis() as i64);
    let is_leaving = entry.status == EndpointStatus::Leaving;
    let registry = &mut state.registry;
    let stage = registry.record_contact_probe(key, outcome, started_at, now);
    let notified = stage.map_or(0, |stage| {
        notify_requests(front, registry, (key, stage), now)
    });
    drop(state);
    log::info!(
        event = "contact-probe",
        endpoint = id.as_str(),
        outcome = outcome.as_str(),
        silent_ms = silence.as_millis(),
        report_age_ms = report_age.unwrap_or(-1),
        leaving = is_leaving,
        running = running,
        stage = stage.map_or("", |stage| stage.as_str()),
        notified = notified;
        ""
    );
    if let Some(stage) = stage {
        front.metrics.increment("contacts", stage.as_str());
    }
}

/// Records that an endpoint has sent something to this front.
pub(crate) fn record_heard(
    front: &FrontContext,
    key: EndpointKey,
) {
    let now = front.now();
    let mut state = front.state();
    if let Some(silence) = state.registry.record_heard(key, now) {
        let id = state.registry.get(key).map_or("", |entry| &entry.id);
        log_return(id, silence, "response");
    }
}

/// Logs that an endpoint responds again.
pub(crate) fn log_return(
    id: &str,
    silence: Micros,
    source: &str,
) {
    log::info!(
        event = "contact-return",
        endpoint = id,
        silent_ms = silence.as_millis(),
        source = source;
        ""
    );
}
