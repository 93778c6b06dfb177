use {
    super::{EndpointClient, QUERY_TIMEOUT},
    crate::control::ControlHandle,
    pitchhitch_core::role::{AgentEvent, CacheChange},
    pitchhitch_services::http::CallError,
    smol::Timer,
    std::time::{Duration, Instant},
};

/// Time between two health checks of the endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Consecutive failed health checks after which the endpoint counts as unhealthy.
const UNHEALTHY_THRESHOLD: u32 = 3;
/// Time beyond its timeout from which a health check was delayed by a pause of this process.
const PAUSE_MARGIN: Duration = Duration::from_millis(500);

/// Polls the health of the endpoint and the cache changes of an engine, and reports them to
/// the control thread. Never returns.
pub async fn watch_endpoint(
    client: EndpointClient,
    handle: ControlHandle,
) {
    let mut failures = 0;
    let mut next_change = None;
    loop {
        match check_health(&client).await {
            Some(version) => {
                failures = 0;
                handle.send_event(AgentEvent::HealthChecked {
                    healthy: true,
                    version,
                });
                if client.is_engine() {
                    next_change = poll_cache_changes(&client, &handle, next_change).await;
                }
            }
            None => {
                failures += 1;
                if failures >= UNHEALTHY_THRESHOLD {
                    next_change = None;
                    handle.send_event(AgentEvent::HealthChecked {
                        healthy: false,
                        version: None,
                    });
                }
            }
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Checks the health once; none if the endpoint is unhealthy. The inner value is the weight
/// version of an engine, none for a service.
async fn check_health(client: &EndpointClient) -> Option<Option<String>> {
    let started_at = Instant::now();
    let health = match client.is_engine() {
        true => client
            .engine_health()
            .await
            .map(|health| Some(health.version)),
        false => client.service_health().await.map(|()| None),
    };
    let was_paused = started_at.elapsed() > QUERY_TIMEOUT + PAUSE_MARGIN;
    let signal = client.hang_signal();
    let is_unanswered = matches!(&health, Err(CallError::NoResponse { .. }));
    // A plain service may not answer health checks while it works on a long call.
    let may_be_hung = is_unanswered && client.is_engine() && !was_paused;
    if !may_be_hung {
        signal.record_heard();
    } else if signal.record_no_response() {
        log::warn!(event = "endpoint-hung"; "");
    }
    health.ok()
}

/// Reports cache changes since the last poll and returns the sequence number of the next
/// change.
async fn poll_cache_changes(
    client: &EndpointClient,
    handle: &ControlHandle,
    next_change: Option<u64>,
) -> Option<u64> {
    let Some(from) = next_change else {
        return list_cache(client, handle).await;
    };
    let batch = client.cache_changes(from).await.ok()?;
    if batch.first != from {
        // The engine no longer has the requested changes.
        return list_cache(client, handle).await;
    }
    let next = from + batch.changes.len() as u64;
    if !batch.changes.is_empty() {
        let changes = batch.changes.into_iter().map(CacheChange::from).collect();
        handle.send_event(AgentEvent::CacheChanged {
            first: from,
            changes,
        });
    }
    Some(next)
}

/// Reports the whole cache and returns the sequence number of the next change.
pub async fn list_cache(
    client: &EndpointClient,
    handle: &ControlHandle,
) -> Option<u64> {
    let cache = client.list_cache().await.ok()?;
    let next = cache.next;
    handle.send_event(AgentEvent::CacheListed {
        next,
        keys: cache.keys,
    });
    Some(next)
}
