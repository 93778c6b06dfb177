use {
    crate::front::{handle_endpoint_changes, FrontContext},
    pitchhitch_core::serving::RejoinProbe,
    pitchhitch_http1::{HttpClient, HttpRequest, UnframedBody},
    pitchhitch_platform::instance_field,
    std::{rc::Rc, time::Duration},
};

/// Timeout of a health check, which waits for a slot at the endpoint like any request.
pub(crate) const HEALTH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Checks the health of endpoints whose entries disappeared from the list and reappeared: lost
/// heartbeats look like an endpoint that left, and a heartbeat that is processed late looks like
/// one that rejoined. Where a service has lost all entries, those that have not reappeared are checked,
/// too.
pub(crate) fn probe_rejoined(front: &Rc<FrontContext>) {
    let now = front.now();
    let probes = {
        let mut state = front.state();
        state.registry.probe_unlisted(&front.settings.box_id, now);
        state.registry.due_probes(now)
    };
    for probe in probes {
        front.spawn(probe_endpoint(front.clone(), probe));
    }
}

async fn probe_endpoint(
    front: Rc<FrontContext>,
    probe: RejoinProbe,
) {
    let path = health_path(&front, &probe.service);
    let status = match &path {
        Some(path) => health_status(&probe, path).await,
        None => None,
    };
    let serves = status == Some(200);
    log::info!(
        event = "endpoint-returned",
        endpoint = probe.id.as_str(),
        status = status.unwrap_or(0),
        serves = serves;
        ""
    );
    front.metrics.increment("links", "health");
    let now = front.now();
    let mut state = front.state();
    let change = state.registry.record_probe(&probe, serves, now);
    drop(state);
    let changes: Vec<_> = change.into_iter().collect();
    handle_endpoint_changes(&front, &changes);
}

fn health_path(
    front: &FrontContext,
    service: &str,
) -> Option<String> {
    let config = front.state().config.clone()?;
    config.services.get(service)?.health_path.clone()
}

/// Status of the response. An endpoint with another id at the address responds with an error.
async fn health_status(
    probe: &RejoinProbe,
    path: &str,
) -> Option<u16> {
    let mut client = HttpClient::new(probe.address, HEALTH_TIMEOUT);
    let request = HttpRequest {
        method: "GET",
        target: path,
        fields: vec![instance_field(&probe.id)],
        unframed_body: UnframedBody::Dropped,
        ..HttpRequest::default()
    };
    client
        .call(request)
        .await
        .ok()
        .map(|response| response.status)
}
