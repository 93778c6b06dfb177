use {
    super::{handle_endpoint_changes, FrontContext},
    pitchhitch_core::serving::RejoinProbe,
    pitchhitch_http1::{HttpCall, HttpClient},
    pitchhitch_platform::instance_field,
    std::{rc::Rc, time::Duration},
};

/// Time limit of a question; it waits for a slot of the endpoint like a request.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// Asks endpoints whose entries went and came back whether they serve: heartbeats
/// that got lost look like an endpoint that left, and a heartbeat that was carried
/// out late looks like one that came back.
pub(super) fn ask_returned(front: &Rc<FrontContext>) {
    let now = front.now();
    let questions = front.state().registry.due_probes(now);
    for question in questions {
        front.spawn(ask(front.clone(), question));
    }
}

async fn ask(
    front: Rc<FrontContext>,
    question: RejoinProbe,
) {
    let path = health_path(&front, &question.service);
    let status = match &path {
        Some(path) => health_status(&question, path).await,
        None => None,
    };
    let serves = status == Some(200);
    log::info!(
        event = "endpoint-returned",
        endpoint = question.id.as_str(),
        status = status.unwrap_or(0),
        serves = serves;
        ""
    );
    front.metrics.count("links", "health");
    let now = front.now();
    let mut state = front.state();
    let change = state.registry.record_probe(question.key, serves, now);
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

/// Status of its answer; an endpoint of another id at the address says no.
async fn health_status(
    question: &RejoinProbe,
    path: &str,
) -> Option<u16> {
    let mut client = HttpClient::new(question.address, CALL_LIMIT);
    let call = HttpCall {
        method: "GET",
        target: path,
        fields: vec![instance_field(&question.id)],
        ..HttpCall::default()
    };
    client.call(call).await.ok().map(|answer| answer.status)
}
