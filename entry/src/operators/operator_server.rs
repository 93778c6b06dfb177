use {
    super::StatusReport,
    crate::{
        callers::json_response,
        control::{PEER_CONFIG_PATH, SINCE_QUERY},
        explain::DecisionRecord,
        traffic::EntryApp,
    },
    pitchhitch_core::{
        drain::DrainState,
        kv_cache::{PieceHolder, PieceKey, StoreTier},
    },
    pitchhitch_services::http::ServiceClient,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    trillium::{Conn, Method, Status},
};

/// Path of the status report.
pub const STATUS_PATH: &str = "/operator/status";
/// Path prefix of the routing decisions about a request.
pub const EXPLAIN_PREFIX: &str = "/operator/explain/";
/// Path prefix of the holders of a piece.
pub const PIECE_PREFIX: &str = "/operator/piece/";
/// Path prefix of the drain state of an endpoint.
pub const DRAIN_PREFIX: &str = "/operator/drain/";
/// Query of a request that a peer has forwarded; it is not forwarded again.
const FORWARDED_QUERY: &str = "passed=1";
/// Timeout of a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Known holders of a piece.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PieceReport {
    /// Key of the piece.
    pub key: PieceKey,
    /// Its known holders.
    pub holders: Vec<HolderRow>,
}

/// A holder of a piece.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Id of the endpoint or store box.
    pub place: String,
    /// `accelerator`, `memory` or `disk`.
    pub tier: String,
    /// Generation of the copy on a store box; none at endpoints.
    pub generation: Option<u64>,
}

/// Drain state of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainReport {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Its drain state.
    pub state: DrainState,
}

/// Handles one HTTP request from an operator or a peer.
pub async fn serve_operator(
    app: Arc<EntryApp>,
    conn: Conn,
) -> Conn {
    if conn.method() != Method::Get {
        return conn.with_status(Status::MethodNotAllowed).halt();
    }
    let path = conn.path().to_string();
    if path == STATUS_PATH {
        return match StatusReport::collect(&app).await {
            Some(report) => json_response(conn, &report),
            None => conn.with_status(Status::ServiceUnavailable).halt(),
        };
    }
    if path == PEER_CONFIG_PATH {
        let since = conn
            .querystring()
            .strip_prefix(SINCE_QUERY)
            .and_then(|t| t.parse().ok());
        let since = since.unwrap_or(0);
        return match app
            .control
            .query(move |core, _| core.config_for_peer(since))
            .await
        {
            Some(config) => json_response(conn, &config),
            None => conn.with_status(Status::ServiceUnavailable).halt(),
        };
    }
    if let Some(request_id) = path.strip_prefix(EXPLAIN_PREFIX) {
        return explain_request(&app, conn, request_id).await;
    }
    if let Some(key) = path.strip_prefix(PIECE_PREFIX) {
        return explain_piece(&app, conn, key);
    }
    if let Some(endpoint) = path.strip_prefix(DRAIN_PREFIX) {
        return drain_report(&app, conn, endpoint).await;
    }
    conn.with_status(Status::NotFound).halt()
}

async fn drain_report(
    app: &EntryApp,
    conn: Conn,
    endpoint: &str,
) -> Conn {
    let id = endpoint.to_string();
    let endpoint_id = id.clone();
    let state = app
        .control
        .query(move |core, now| core.drain_state(&endpoint_id, now))
        .await;
    match state {
        Some(state) => json_response(
            conn,
            &DrainReport {
                endpoint: id,
                state,
            },
        ),
        None => conn.with_status(Status::ServiceUnavailable).halt(),
    }
}

/// Responds with the routing decisions about a request. The id of that request names the box of the
/// entry process that made them; if that is another box, the query is forwarded to it.
async fn explain_request(
    app: &EntryApp,
    conn: Conn,
    request_id: &str,
) -> Conn {
    let records = app.decisions.find(request_id);
    if !records.is_empty() {
        return json_response(conn, &records);
    }
    let box_id = request_id.split('.').next().unwrap_or_default().to_string();
    if box_id == app.settings.box_id || conn.querystring() == FORWARDED_QUERY {
        return conn.with_status(Status::NotFound).halt();
    }
    let peer = app.control.query(move |core, _| {
        let mut peers = core.peers().iter();
        peers
            .find(|p| p.beacon.entry_id == box_id)
            .map(|p| p.beacon.peer_address)
    });
    let Some(Some(peer)) = peer.await else {
        return conn.with_status(Status::NotFound).halt();
    };
    match fetch_from_peer(peer, request_id).await {
        Some(records) => json_response(conn, &records),
        None => conn.with_status(Status::NotFound).halt(),
    }
}

async fn fetch_from_peer(
    peer: SocketAddr,
    request_id: &str,
) -> Option<Vec<DecisionRecord>> {
    let path = format!("{EXPLAIN_PREFIX}{request_id}?{FORWARDED_QUERY}");
    ServiceClient::new(peer, PEER_TIMEOUT)
        .get_json(&path)
        .await
        .ok()
}

fn explain_piece(
    app: &EntryApp,
    conn: Conn,
    text: &str,
) -> Conn {
    let Ok(key) = text.parse::<PieceKey>() else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let view = app.view.load();
    let mut holders = Vec::new();
    for holder in view.table.pieces.holders(key) {
        match holder {
            PieceHolder::Endpoint(endpoint) => {
                if let Some(state) = view.table.endpoints.get(endpoint) {
                    holders.push(HolderRow {
                        place: state.id.clone(),
                        tier: "accelerator".to_string(),
                        generation: None,
                    });
                }
            }
            PieceHolder::Store(copy) => {
                if let Some(state) = view.table.stores.get(copy.store) {
                    let tier = match copy.tier {
                        StoreTier::Memory => "memory",
                        StoreTier::Disk => "disk",
                    };
                    holders.push(HolderRow {
                        place: state.id.clone(),
                        tier: tier.to_string(),
                        generation: Some(copy.generation),
                    });
                }
            }
        }
    }
    json_response(conn, &PieceReport { key, holders })
}
