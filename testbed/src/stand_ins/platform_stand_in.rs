use {
    super::{
        answer_json, answer_status, any_port, read_body, FaultOutcome, FaultSwitch, HttpStandIn,
        TableRows,
    },
    pitchhitch_services::boxes::{BoxList, BoxRecord},
    smol::Timer,
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU32, Ordering},
            Arc, Mutex, PoisonError,
        },
        time::Duration,
    },
    trillium::{Conn, Method, Status},
};

/// Time that the weight store takes for one load.
const LOAD_TIME: Duration = Duration::from_millis(1_300);
/// Loads at once beyond which each takes longer.
const LOADS_AT_ONCE: u32 = 2;

/// What the platform holds.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// Rows of the table.
    pub table: TableRows,
    /// Faults of the table.
    pub table_faults: FaultSwitch,
    /// Faults of the object store.
    pub object_faults: FaultSwitch,
    /// Faults of the box list.
    pub box_faults: FaultSwitch,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    boxes: Mutex<BTreeMap<String, BoxRecord>>,
    weights: Mutex<BTreeSet<String>>,
    loading: AtomicU32,
    most_loading: AtomicU32,
}

/// Stand-in for the platform's services, all on one address.
#[derive(Debug)]
pub struct PlatformStandIn {
    /// Where all of them answer.
    pub address: SocketAddr,
    /// What they hold.
    pub state: Arc<PlatformState>,
    _server: HttpStandIn,
}

impl PlatformStandIn {
    /// Starts the services.
    ///
    /// # Errors
    /// When no port can be bound.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(PlatformState::default());
        let shared = state.clone();
        let server = HttpStandIn::start(any_port(), move |conn| serve(shared.clone(), conn))?;
        Ok(PlatformStandIn {
            address: server.address,
            state,
            _server: server,
        })
    }
}

impl PlatformState {
    /// Puts a box on the list, or replaces it.
    pub fn list_box(
        &self,
        row: BoxRecord,
    ) {
        let mut boxes = self.boxes.lock().unwrap_or_else(PoisonError::into_inner);
        boxes.insert(row.id.clone(), row);
    }

    /// Takes a box off the list.
    pub fn unlist_box(
        &self,
        id: &str,
    ) {
        let mut boxes = self.boxes.lock().unwrap_or_else(PoisonError::into_inner);
        boxes.remove(id);
    }

    /// Puts a version into the weight store.
    pub fn add_weights(
        &self,
        model: &str,
        version: &str,
    ) {
        let mut weights = self.weights.lock().unwrap_or_else(PoisonError::into_inner);
        weights.insert(format!("{model}/{version}"));
    }

    /// The most loads that ever ran at once.
    pub fn most_loading(&self) -> u32 {
        self.most_loading.load(Ordering::Relaxed)
    }
}

async fn serve(
    state: Arc<PlatformState>,
    conn: Conn,
) -> Conn {
    let path = conn.path().to_string();
    if path.starts_with("/table/") {
        return serve_table(&state, conn, &path).await;
    }
    if let Some(name) = path.strip_prefix("/objects/") {
        return serve_objects(&state, conn, name).await;
    }
    if path == "/boxes" {
        if state.box_faults.strike(false).await == FaultOutcome::Down {
            return answer_status(conn, Status::ServiceUnavailable, "box list is down");
        }
        let boxes = state.boxes.lock().unwrap_or_else(PoisonError::into_inner);
        let list = BoxList {
            boxes: boxes.values().cloned().collect(),
        };
        return answer_json(conn, &list);
    }
    if let Some(name) = path.strip_prefix("/weights/") {
        return serve_weights(&state, conn, name).await;
    }
    answer_status(conn, Status::NotFound, "no such service")
}

async fn serve_table(
    state: &PlatformState,
    mut conn: Conn,
    path: &str,
) -> Conn {
    let body = read_body(&mut conn).await;
    let writes = path == "/table/commit";
    let fault = state.table_faults.strike(writes).await;
    if fault == FaultOutcome::Down {
        return answer_status(conn, Status::ServiceUnavailable, "table is down");
    }
    let answered = if writes {
        match serde_json::from_slice(&body) {
            Ok(query) => answer_json(conn, &state.table.commit(&query)),
            Err(error) => answer_status(conn, Status::BadRequest, &error.to_string()),
        }
    } else {
        match serde_json::from_slice(&body) {
            Ok(query) => answer_json(conn, &state.table.read(&query)),
            Err(error) => answer_status(conn, Status::BadRequest, &error.to_string()),
        }
    };
    if fault == FaultOutcome::AnswerLost {
        return answer_status(answered, Status::GatewayTimeout, "the answer was lost");
    }
    answered
}

async fn serve_objects(
    state: &PlatformState,
    mut conn: Conn,
    name: &str,
) -> Conn {
    if state.object_faults.strike(false).await == FaultOutcome::Down {
        return answer_status(conn, Status::ServiceUnavailable, "object store is down");
    }
    match conn.method() {
        Method::Put => {
            let body = read_body(&mut conn).await;
            let mut objects = state.objects.lock().unwrap_or_else(PoisonError::into_inner);
            objects.insert(name.to_string(), body);
            conn.ok("")
        }
        Method::Get => {
            let objects = state.objects.lock().unwrap_or_else(PoisonError::into_inner);
            match objects.get(name) {
                Some(body) => conn.ok(body.clone()),
                None => answer_status(conn, Status::NotFound, "no such object"),
            }
        }
        _ => answer_status(conn, Status::MethodNotAllowed, ""),
    }
}

async fn serve_weights(
    state: &PlatformState,
    conn: Conn,
    name: &str,
) -> Conn {
    let about = name.strip_suffix("/about");
    let version = about.unwrap_or(name);
    let known = {
        let weights = state.weights.lock().unwrap_or_else(PoisonError::into_inner);
        weights.contains(version)
    };
    if !known {
        return answer_status(conn, Status::NotFound, "no such version");
    }
    if about.is_none() {
        let loading = state.loading.fetch_add(1, Ordering::Relaxed) + 1;
        state.most_loading.fetch_max(loading, Ordering::Relaxed);
        let slowdown = f64::from(loading.max(LOADS_AT_ONCE)) / f64::from(LOADS_AT_ONCE);
        Timer::after(LOAD_TIME.mul_f64(slowdown)).await;
        state.loading.fetch_sub(1, Ordering::Relaxed);
    }
    conn.ok("weights")
}
