use {
    super::{run_prompt, PrefillQueue, PrefixCache},
    crate::fakes::{any_port, json_response, read_body, status_response, FakeServer},
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

/// Timeout of a weight download.
const WEIGHT_TIMEOUT: Duration = Duration::from_secs(60);

/// Parameters of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineShape {
    /// Model that it serves.
    pub model: String,
    /// Weight version that it holds at the start.
    pub version: String,
    /// Prefill time of one prompt token.
    pub prefill_token: Duration,
    /// Decode time of one response token.
    pub decode_token: Duration,
    /// Requests in the batch.
    pub slots: usize,
    /// Capacity of the cache, in pieces.
    pub cache_pieces: usize,
    /// Bytes of cached state in one piece.
    pub piece_bytes: usize,
    /// Age at which cache events are published.
    pub event_delay: Duration,
    /// Address of the weight store.
    pub weights: SocketAddr,
}

impl EngineShape {
    /// A fast engine with a small cache.
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

/// Counters of an engine.
#[derive(Debug, Default)]
pub struct EngineCounts {
    /// Prompts that have started.
    pub started: AtomicU64,
    /// Prompts whose caller disconnected.
    pub cancelled: AtomicU64,
    /// Prompt tokens received.
    pub prompt_tokens: AtomicU64,
    /// Prompt tokens computed, that is, not taken from the cache.
    pub computed_tokens: AtomicU64,
}

/// Shared state of a running engine.
#[derive(Debug)]
pub struct EngineCore {
    /// Parameters.
    pub shape: EngineShape,
    /// Batch slots and prefill.
    pub prefill_queue: PrefillQueue,
    /// Counters.
    pub counts: EngineCounts,
    /// Requests that are running.
    pub running: AtomicU32,
    cache: Mutex<PrefixCache>,
    version: Mutex<String>,
    loading: AtomicBool,
    newest_order: Mutex<OrderStamp>,
    weights: ServiceClient,
}

/// Fake model engine; it stops when dropped.
#[derive(Debug)]
pub struct FakeEngine {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Shared state.
    pub core: Arc<EngineCore>,
    _server: FakeServer,
}

impl FakeEngine {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start(shape: EngineShape) -> io::Result<Self> {
        Self::start_at(any_port(), shape)
    }

    /// Starts an engine at an address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
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
        let server = FakeServer::start(address, move |conn| serve(shared.clone(), conn))?;
        Ok(FakeEngine {
            address: server.address,
            core,
            _server: server,
        })
    }
}

impl EngineCore {
    /// Locks the prefix cache.
    pub fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The weight version that it holds.
    pub fn version(&self) -> String {
        self.version
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether new prompts for a version are accepted; none are during a weight load.
    pub fn accepts(
        &self,
        wanted: Option<&str>,
    ) -> bool {
        let is_same_version = wanted.is_none_or(|wanted| wanted == self.version());
        is_same_version && !self.loading.load(Ordering::Relaxed)
    }

    /// Records the stamp of an order if it is newer than all earlier ones; returns whether it is.
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
    // This engine checks its orders: it refuses those without a stamp, and those whose stamp is
    // not newer than all earlier ones.
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

/// The content of a piece, derived from its key. An import of other bytes is refused.
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
