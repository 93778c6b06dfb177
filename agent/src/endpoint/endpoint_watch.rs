use {
    super::EndpointClient,
    crate::control::ControlHandle,
    pitchhitch_core::role::{AgentEvent, CacheChange},
    smol::Timer,
    std::time::Duration,
};

/// Time between two health checks of the endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Consecutive failed health checks after which the endpoint counts as unhealthy.
const UNHEALTHY_THRESHOLD: u32 = 3;

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
    if client.is_engine() {
        let health = client.engine_health().await.ok()?;
        Some(Some(health.version))
    } else {
        client.service_health().await.ok()?;
        Some(None)
    }
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
