use {
    crate::{
        filter::{authenticate, handle_request, Refusal},
        openai::ModelList,
        traffic::EntryApp,
    },
    pitchhitch_core::errors::ErrorKind,
    std::sync::Arc,
    trillium::{Conn, Method, Status},
};

/// Path prefix under which callers look up the routing decisions about their own requests.
const REQUESTS_PREFIX: &str = "/pitchhitch/requests/";

/// Handles one HTTP request from a caller.
pub async fn serve_caller(
    app: Arc<EntryApp>,
    conn: Conn,
) -> Conn {
    let method = conn.method();
    match (method, conn.path()) {
        (Method::Get, "/healthz") => conn.ok("ok\n"),
        (Method::Get, "/readyz") if app.is_ready() => conn.ok("ready\n"),
        (Method::Get, "/readyz") => conn
            .with_status(Status::ServiceUnavailable)
            .with_body("not ready\n")
            .halt(),
        (Method::Get, "/v1/models") => list_models(&app, conn),
        (Method::Get, path) if path.starts_with(REQUESTS_PREFIX) => explain_own_request(&app, conn),
        _ => handle_request(app, conn).await,
    }
}

fn list_models(
    app: &EntryApp,
    conn: Conn,
) -> Conn {
    let view = app.view.load();
    if let Err(refusal) = authenticate(&conn, &view) {
        return refusal.write(conn, &app.request_id(app.next_request_number()));
    }
    let list = ModelList::from_config(&view.table.config);
    json_response(conn, &list)
}

/// Responds with the routing decisions about a request of the caller's organisation; a request of
/// another organisation is reported as unknown.
fn explain_own_request(
    app: &EntryApp,
    conn: Conn,
) -> Conn {
    let view = app.view.load();
    let id = app.request_id(app.next_request_number());
    let organisation = match authenticate(&conn, &view) {
        Ok(organisation) => organisation,
        Err(refusal) => return refusal.write(conn, &id),
    };
    let request_id = conn.path().trim_start_matches(REQUESTS_PREFIX).to_string();
    let mut records = app.decisions.find(&request_id);
    records.retain(|r| r.organisation == organisation);
    if records.is_empty() {
        let detail = format!("there is no recent request '{request_id}'");
        return Refusal::new(ErrorKind::UnknownRequest, detail).write(conn, &id);
    }
    json_response(conn, &records)
}

/// Responds with a value as JSON, or with status 500 if it cannot be serialised.
pub fn json_response(
    mut conn: Conn,
    value: &impl serde::Serialize,
) -> Conn {
    match serde_json::to_string(value) {
        Ok(body) => {
            conn.response_headers_mut()
                .insert("content-type", "application/json");
            conn.ok(body)
        }
        Err(error) => {
            log::error!(event = "not-serialized", error = error.to_string().as_str(); "");
            conn.with_status(Status::InternalServerError).halt()
        }
    }
}
