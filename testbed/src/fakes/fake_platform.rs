use {
    super::{
        any_port, json_response, read_body, status_response, FakeServer, FaultOutcome, FaultSwitch,
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

/// Duration of one weight download from the weight store.
const WEIGHT_LOAD_TIME: Duration = Duration::from_millis(1_300);
/// Concurrent weight downloads beyond which each takes longer.
const FULL_SPEED_LOADS: u32 = 2;

/// Content and faults of the platform's services.
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
    active_loads: AtomicU32,
    peak_loads: AtomicU32,
}

/// Fake of the platform's services, all at one address.
#[derive(Debug)]
pub struct FakePlatform {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Content and faults.
    pub state: Arc<PlatformState>,
    _server: FakeServer,
}

impl FakePlatform {
    /// Starts the services on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(PlatformState::default());
        let shared = state.clone();
        let server = FakeServer::start(any_port(), move |conn| serve(shared.clone(), conn))?;
        Ok(FakePlatform {
            address: server.address,
            state,
            _server: server,
        })
    }
}

impl PlatformState {
    /// Adds a box to the list, or replaces it.
    pub fn list_box(
        &self,
        record: BoxRecord,
    ) {
        let mut boxes = self.boxes.lock().unwrap_or_else(PoisonError::into_inner);
        boxes.insert(record.id.clone(), record);
    }

    /// Removes a box from the list.
    pub fn unlist_box(
        &self,
        id: &str,
    ) {
        let mut boxes = self.boxes.lock().unwrap_or_else(PoisonError::into_inner);
        boxes.remove(id);
    }

    /// Adds a version to the weight store.
    pub fn add_weights(
        &self,
        model: &str,
        version: &str,
    ) {
        let mut weights = self.weights.lock().unwrap_or_else(PoisonError::into_inner);
        weights.insert(format!("{model}/{version}"));
    }

    /// Largest number of weight downloads that ever ran concurrently.
    pub fn peak_loads(&self) -> u32 {
        self.peak_loads.load(Ordering::Relaxed)
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
        if state.box_faults.apply(false).await == FaultOutcome::Down {
            return status_response(conn, Status::ServiceUnavailable, "box list is down");
        }
        let boxes = state.boxes.lock().unwrap_or_else(PoisonError::into_inner);
        let list = BoxList {
            boxes: boxes.values().cloned().collect(),
        };
        return json_response(conn, &list);
    }
    if let Some(name) = path.strip_prefix("/weights/") {
        return serve_weights(&state, conn, name).await;
    }
    status_response(conn, Status::NotFound, "no such service")
}

async fn serve_table(
    state: &PlatformState,
    mut conn: Conn,
    path: &str,
) -> Conn {
    let body = read_body(&mut conn).await;
    let is_write = path == "/table/commit";
    let fault = state.table_faults.apply(is_write).await;
    if fault == FaultOutcome::Down {
        return status_response(conn, Status::ServiceUnavailable, "table is down");
    }
    let response = if is_write {
        match serde_json::from_slice(&body) {
            Ok(request) => json_response(conn, &state.table.commit(&request)),
            Err(error) => status_response(conn, Status::BadRequest, &error.to_string()),
        }
    } else {
        match serde_json::from_slice(&body) {
            Ok(request) => json_response(conn, &state.table.read(&request)),
            Err(error) => status_response(conn, Status::BadRequest, &error.to_string()),
        }
    };
    if fault == FaultOutcome::ResponseDropped {
        return status_response(response, Status::GatewayTimeout, "the answer was lost");
    }
    response
}

async fn serve_objects(
    state: &PlatformState,
    mut conn: Conn,
    name: &str,
) -> Conn {
    if state.object_faults.apply(false).await == FaultOutcome::Down {
        return status_response(conn, Status::ServiceUnavailable, "object store is down");
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
                None => status_response(conn, Status::NotFound, "no such object"),
            }
        }
        _ => status_response(conn, Status::MethodNotAllowed, ""),
    }
}

async fn serve_weights(
    state: &PlatformState,
    conn: Conn,
    name: &str,
) -> Conn {
    let about = name.strip_suffix("/about");
    let version = about.unwrap_or(name);
    let is_known = {
        let weights = state.weights.lock().unwrap_or_else(PoisonError::into_inner);
        weights.contains(version)
    };
    if !is_known {
        return status_response(conn, Status::NotFound, "no such version");
    }
    if about.is_none() {
        let active_loads = state.active_loads.fetch_add(1, Ordering::Relaxed) + 1;
        state.peak_loads.fetch_max(active_loads, Ordering::Relaxed);
        let slowdown = f64::from(active_loads.max(FULL_SPEED_LOADS)) / f64::from(FULL_SPEED_LOADS);
        Timer::after(WEIGHT_LOAD_TIME.mul_f64(slowdown)).await;
        state.active_loads.fetch_sub(1, Ordering::Relaxed);
    }
    conn.ok("weights")
}
