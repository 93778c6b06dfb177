use {
    super::{run_prompt, PrefillQueue, PrefixCache},
    crate::stand_ins::{any_port, json_response, read_body, status_response, HttpStandIn},
    pitchhitch_agent::endpoint::{EngineHealth, EngineOrder, VERSION_HEADER},
    pitchhitch_core::{kv_cache::PieceKey, lease::OrderStamp},
    pitchhitch_services::http::ServiceClient,
    std::{
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
            Arc, Mutex, MutexGuard, PoisonError,
        },
        time::Duration,
    },
    trillium::{Conn, Method, Status},
};

/// Time limit of fetching weights.
const WEIGHT_TIMEOUT: Duration = Duration::from_secs(60);

/// How a stand-in engine is built.
#[derive(Debug, Clone)]
pub struct EngineShape {
    /// Model that it serves.
    pub model: String,
    /// Version that it holds at first.
    pub version: String,
    /// Time for one prompt token.
    pub prefill_token: Duration,
    /// Time for one answer token.
    pub decode_token: Duration,
    /// Requests in the batch.
    pub slots: usize,
    /// Pieces in the cache.
    pub cache_pieces: usize,
    /// Bytes of kept state in one piece.
    pub piece_bytes: usize,
    /// Age at which cache events are published.
    pub event_delay: Duration,
    /// Where weights come from.
    pub weights: SocketAddr,
}

impl EngineShape {
    /// A quick engine with a small cache.
    pub fn small(
        model: &str,
        version: &str,
        weights: SocketAddr,
    ) -> Self {
        EngineShape {
            model: model.to_string(),
            version: version.to_string(),
            prefill_token: Duration::from_micros(40),
            decode_token: Duration::from_millis(2),
            slots: 16,
            cache_pieces: 96,
            piece_bytes: 64 * 1024,
            event_delay: Duration::from_millis(100),
            weights,
        }
    }
}

/// What an engine has done so far.
#[derive(Debug, Default)]
pub struct EngineCounts {
    /// Prompts that were begun.
    pub started: AtomicU64,
    /// Prompts whose caller went away.
    pub cancelled: AtomicU64,
    /// Prompt tokens that came in.
    pub prompt_tokens: AtomicU64,
    /// Prompt tokens that were computed.
    pub computed_tokens: AtomicU64,
}

/// The running parts of an engine.
#[derive(Debug)]
pub struct EngineCore {
    /// How it is built.
    pub shape: EngineShape,
    /// Its batch.
    pub prefill_queue: PrefillQueue,
    /// What it has done.
    pub counts: EngineCounts,
    /// Requests that run.
    pub running: AtomicU32,
    cache: Mutex<PrefixCache>,
    version: Mutex<String>,
    loading: AtomicBool,
    newest_order: Mutex<OrderStamp>,
    weights: ServiceClient,
}

/// Stand-in for a model engine; it stops when dropped.
#[derive(Debug)]
pub struct EngineStandIn {
    /// Where it answers.
    pub address: SocketAddr,
    /// Its parts.
    pub core: Arc<EngineCore>,
    _server: HttpStandIn,
}

impl EngineStandIn {
    /// Starts an engine.
    ///
    /// # Errors
    /// When no port can be bound.
    pub fn start(shape: EngineShape) -> io::Result<Self> {
        Self::start_at(any_port(), shape)
    }

    /// Starts an engine at an address.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start_at(
        address: SocketAddr,
        shape: EngineShape,
    ) -> io::Result<Self> {
        let core = Arc::new(EngineCore {
            prefill_queue: PrefillQueue::new(shape.slots),
            counts: EngineCounts::default(),
            running: AtomicU32::new(0),
            cache: Mutex::new(PrefixCache::new(shape.cache_pieces)),
            version: Mutex::new(shape.version.clone()),
            loading: AtomicBool::new(false),
            newest_order: Mutex::new(OrderStamp::default()),
            weights: ServiceClient::new(shape.weights, WEIGHT_TIMEOUT),
            shape,
        });
        let shared = core.clone();
        let server = HttpStandIn::start(address, move |conn| serve(shared.clone(), conn))?;
        Ok(EngineStandIn {
            address: server.address,
            core,
            _server: server,
        })
    }
}

impl EngineCore {
    /// The cache.
    pub fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The version that it holds.
    pub fn version(&self) -> String {
        self.version
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether new prompts for a version are taken.
    pub fn accepts(
        &self,
        wanted: Option<&str>,
    ) -> bool {
        let is_same_version = wanted.is_none_or(|wanted| wanted == self.version());
        is_same_version && !self.loading.load(Ordering::Relaxed)
    }

    /// Whether an order comes after all before it; it is then the newest.
    fn advance_order(
        &self,
        stamp: Option<OrderStamp>,
    ) -> bool {
        let mut newest = self
            .newest_order
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match stamp {
            Some(stamp) if stamp > *newest => {
                *newest = stamp;
                true
            }
            _ => false,
        }
    }

    fn health(&self) -> EngineHealth {
        EngineHealth {
            version: self.version(),
            running: self.running.load(Ordering::Relaxed),
            waiting: 0,
        }
    }
}

async fn serve(
    core: Arc<EngineCore>,
    conn: Conn,
) -> Conn {
    let path = conn.path().to_string();
    match (conn.method(), path.as_str()) {
        (Method::Get, "/engine/health") => {
            let health = core.health();
            json_response(conn, &health)
        }
        (Method::Get, "/engine/cache") => {
            let list = core.cache().list();
            json_response(conn, &list)
        }
        (Method::Get, "/engine/cache/events") => {
            let from = conn
                .querystring()
                .strip_prefix("from=")
                .and_then(|t| t.parse().ok());
            let changes = core
                .cache()
                .changes_since(from.unwrap_or(0), core.shape.event_delay);
            json_response(conn, &changes)
        }
        (Method::Post, "/engine/load") => load_weights(&core, conn).await,
        (Method::Post, "/engine/adapter" | "/engine/role") => {
            let health = core.health();
            json_response(conn, &health)
        }
        (Method::Post, "/v1/chat/completions" | "/v1/completions") => run_prompt(core, conn).await,
        _ => match path
            .strip_prefix("/engine/kv/")
            .and_then(|text| text.parse().ok())
        {
            Some(key) => serve_piece(&core, conn, key).await,
            None => status_response(conn, Status::NotFound, "no such path"),
        },
    }
}

async fn load_weights(
    core: &EngineCore,
    mut conn: Conn,
) -> Conn {
    let body = read_body(&mut conn).await;
    let order: Option<EngineOrder> = serde_json::from_slice(&body).ok();
    let Some(order) = order else {
        return status_response(conn, Status::BadRequest, "no order");
    };
    // This engine checks who orders it: nothing without a stamp, nothing out of order.
    if !core.advance_order(order.stamp) {
        return status_response(conn, Status::Conflict, "an older order");
    }
    let Some(version) = order.version else {
        return status_response(conn, Status::BadRequest, "no version");
    };
    core.loading.store(true, Ordering::Relaxed);
    let path = format!("/weights/{}/{version}", core.shape.model);
    let fetched = core.weights.send(core.weights.request("GET", &path)).await;
    if let Err(error) = fetched {
        core.loading.store(false, Ordering::Relaxed);
        return status_response(conn, Status::BadGateway, &error.to_string());
    }
    *core.version.lock().unwrap_or_else(PoisonError::into_inner) = version;
    core.cache().clear();
    core.loading.store(false, Ordering::Relaxed);
    let health = core.health();
    json_response(conn, &health)
}

/// The bytes of a piece; an import with other bytes is refused.
pub fn piece_bytes(
    key: PieceKey,
    length: usize,
) -> Vec<u8> {
    let mut bytes = vec![0; length];
    let mut reader = blake3::Hasher::new()
        .update(&key.0.to_le_bytes())
        .finalize_xof();
    reader.fill(&mut bytes);
    bytes
}

async fn serve_piece(
    core: &EngineCore,
    mut conn: Conn,
    key: PieceKey,
) -> Conn {
    match conn.method() {
        Method::Get if core.cache().contains(key) => {
            conn.ok(piece_bytes(key, core.shape.piece_bytes))
        }
        Method::Get => status_response(conn, Status::NotFound, "not in the cache"),
        Method::Put => {
            let body = read_body(&mut conn).await;
            let wanted = conn
                .request_headers()
                .get_str(VERSION_HEADER)
                .map(str::to_string);
            if !core.accepts(wanted.as_deref()) {
                return status_response(conn, Status::Conflict, "another version");
            }
            if body != piece_bytes(key, core.shape.piece_bytes) {
                return status_response(conn, Status::BadRequest, "these bytes are not the piece");
            }
            core.cache().insert(key);
            conn.ok("")
        }
        _ => status_response(conn, Status::MethodNotAllowed, ""),
    }
}
