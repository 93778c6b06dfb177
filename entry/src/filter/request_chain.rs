use {
    super::{
        admit, authenticate, build_response, parse_request, path_kind, AdmissionPermit,
        CallerRequest, Dispatch, ParsedRequest, ReadyResponse, Refusal,
    },
    crate::{idempotency::intent_key, traffic::EntryApp},
    pitchhitch_core::{
        errors::{ErrorKind, RunState},
        time::Micros,
    },
    std::sync::Arc,
    trillium::Conn,
};

/// Runs a request through all filters and writes the response.
pub async fn handle_request(
    app: Arc<EntryApp>,
    mut conn: Conn,
) -> Conn {
    let number = app.next_request_number();
    let id = app.request_id(number);
    app.metrics.count("request.taken", 1);
    match run_filters(&app, &mut conn, &id, number).await {
        Ok(Some(ready)) => ready.write(conn, &id),
        Ok(None) => {
            // The caller has disconnected, so this response is never delivered.
            app.metrics.count("request.caller_gone", 1);
            Refusal::new(ErrorKind::CallerGone, "the caller has gone").write(conn, &id)
        }
        Err(refusal) => {
            app.metrics.count("request.refused", 1);
            app.decisions
                .record_outcome(&id, refusal.kind.response().code);
            log::info!(
                event = "refused",
                request = id.as_str(),
                kind = refusal.kind.response().code,
                ran = refusal.run_state().as_str(),
                detail = refusal.detail.as_str();
                ""
            );
            refusal.write(conn, &id)
        }
    }
}

/// Runs all filters in order; returns `None` when the caller has disconnected.
async fn run_filters(
    app: &Arc<EntryApp>,
    conn: &mut Conn,
    id: &str,
    number: u64,
) -> Result<Option<ReadyResponse>, Refusal> {
    let received_at = app.clock.now();
    let view = app.view.load_full();
    let organisation = authenticate(conn, &view)?;
    let request = CallerRequest::from_conn(conn, id.to_string(), number)?;
    let kind = path_kind(&view.table.config, request.method, &request.path)?;
    let permit = admit(app, &view, &organisation)?;
    let body = read_body(app, conn).await?;
    let deadline = received_at
        + request
            .options
            .deadline
            .unwrap_or(app.settings.default_deadline);
    let parsed = parse_request(&view, request, organisation, kind, body, deadline)?;
    drop(view);
    let rest = route_and_send(app.clone(), parsed, received_at, permit);
    conn.cancel_on_disconnect(rest).await.transpose()
}

async fn read_body(
    app: &EntryApp,
    conn: &mut Conn,
) -> Result<Vec<u8>, Refusal> {
    let limit = app.settings.max_body_bytes;
    let too_large = || {
        let detail = format!("the body is over {limit} bytes");
        Refusal::new(ErrorKind::BodyTooLarge, detail)
    };
    let content_length = conn
        .request_headers()
        .get_str("content-length")
        .and_then(|t| t.parse::<u64>().ok());
    if content_length.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let body = conn.request_body().await.with_max_len(limit + 1);
    let bytes = body.read_bytes().await;
    let bytes = bytes.map_err(|e| match e {
        trillium::Error::ReceivedBodyTooLong(_) => too_large(),
        trillium::Error::Io(e) if e.kind() == std::io::ErrorKind::Unsupported => too_large(),
        other => Refusal::new(
            ErrorKind::MalformedBody,
            format!("the body broke off: {other}"),
        ),
    })?;
    if bytes.len() as u64 > limit {
        return Err(too_large());
    }
    Ok(bytes)
}

async fn route_and_send(
    app: Arc<EntryApp>,
    parsed: ParsedRequest,
    received_at: Micros,
    permit: AdmissionPermit,
) -> Result<ReadyResponse, Refusal> {
    let key = parsed.request.options.idempotency_key.as_ref();
    let row_key = key.map(|key| intent_key(&parsed.organisation, key));
    let request_id = parsed.request.id.clone();
    if let Some(key) = &row_key {
        let begun = app.idempotency.begin(key, &request_id).await;
        begun.map_err(|kind| Refusal::new(kind, "the idempotency key"))?;
    }
    let mut dispatch = Dispatch::new(app.clone(), parsed);
    let started = dispatch.start(None).await;
    let outcome = match started {
        Ok(started) => build_response(dispatch, started, received_at, permit).await,
        Err(refusal) => Err(refusal),
    };
    if let (Some(key), Err(refusal)) = (&row_key, &outcome) {
        if refusal.run_state() == RunState::NotRun {
            // If this fails the key stays in use, and the request cannot run twice.
            let _ = app.idempotency.release(key, &request_id).await;
        }
    }
    outcome
}
