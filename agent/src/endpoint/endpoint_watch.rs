use {
    super::EndpointClient,
    crate::control::ControlHandle,
    pitchhitch_core::role::{AgentEvent, CacheChange},
    smol::Timer,
    std::time::Duration,
};

/// Time between two looks at the endpoint.
const WATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Looks without answer in a row after which the endpoint counts as gone.
const FAILURE_LIMIT: u32 = 3;

/// Looks after the endpoint's health and an engine's cache news, for good.
pub async fn watch_endpoint(
    client: EndpointClient,
    handle: ControlHandle,
) {
    let mut failures = 0;
    let mut next_change = None;
    loop {
        match look(&client).await {
            Some(version) => {
                failures = 0;
                handle.tell(AgentEvent::HealthChecked {
                    healthy: true,
                    version,
                });
                if client.is_engine() {
                    next_change = read_news(&client, &handle, next_change).await;
                }
            }
            None => {
                failures += 1;
                if failures >= FAILURE_LIMIT {
                    next_change = None;
                    handle.tell(AgentEvent::HealthChecked {
                        healthy: false,
                        version: None,
                    });
                }
            }
        }
        Timer::after(WATCH_INTERVAL).await;
    }
}

/// Looks once; the inner value is the version of an engine.
async fn look(client: &EndpointClient) -> Option<Option<String>> {
    if client.is_engine() {
        let health = client.engine_health().await.ok()?;
        Some(Some(health.version))
    } else {
        client.service_health().await.ok()?;
        Some(None)
    }
}

/// Passes on news since the last look; gives the number that comes next.
async fn read_news(
    client: &EndpointClient,
    handle: &ControlHandle,
    next_change: Option<u64>,
) -> Option<u64> {
    let Some(from) = next_change else {
        return list_cache(client, handle).await;
    };
    let news = client.cache_news(from).await.ok()?;
    if news.first != from {
        // The engine has dropped news that were not read in time.
        return list_cache(client, handle).await;
    }
    let next = from + news.changes.len() as u64;
    if !news.changes.is_empty() {
        let changes = news.changes.into_iter().map(CacheChange::from).collect();
        handle.tell(AgentEvent::CacheChanged {
            first: from,
            changes,
        });
    }
    Some(next)
}

/// Passes on the whole cache; gives the number of the next change.
pub async fn list_cache(
    client: &EndpointClient,
    handle: &ControlHandle,
) -> Option<u64> {
    let cache = client.list_cache().await.ok()?;
    let next = cache.next;
    handle.tell(AgentEvent::CacheListed {
        next,
        keys: cache.keys,
    });
    Some(next)
}
