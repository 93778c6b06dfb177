use {
    super::{any_port, json_response, status_response, FakeServer},
    pitchhitch_agent::transfers::piece_checksum,
    pitchhitch_core::kv_cache::{PieceKey, StoreTier},
    pitchhitch_services::stores::{PieceList, PieceRecord, CHECKSUM_HEADER, GENERATION_HEADER},
    smol::Timer,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex, MutexGuard, PoisonError,
        },
        time::{Duration, Instant},
    },
    trillium::{Conn, Method, Status},
};

/// Parameters of a store box.
#[derive(Debug, Clone, Copy)]
pub struct StoreBoxShape {
    /// Capacity, in bytes.
    pub capacity_bytes: u64,
    /// Bandwidth of its link, in bytes per second, both directions together.
    pub link_bytes_per_s: f64,
    /// Bandwidth of its disk, in bytes per second.
    pub disk_bytes_per_s: f64,
}

impl Default for StoreBoxShape {
    fn default() -> Self {
        StoreBoxShape {
            capacity_bytes: 256 * 1024 * 1024,
            link_bytes_per_s: 50.0e6,
            disk_bytes_per_s: 20.0e6,
        }
    }
}

#[derive(Debug, Clone)]
struct PieceEntry {
    tier: StoreTier,
    generation: u64,
    checksum: String,
    bytes: Vec<u8>,
}

#[derive(Debug, Default)]
struct StoreState {
    pieces: BTreeMap<PieceKey, PieceEntry>,
    used_bytes: u64,
    last_generation: u64,
    link_free_at: Option<Instant>,
}

#[derive(Debug)]
struct StoreShared {
    shape: StoreBoxShape,
    state: Mutex<StoreState>,
    link_bytes: AtomicU64,
}

/// Fake store box. A dropped store box that is started again is empty.
#[derive(Debug)]
pub struct StoreBox {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    shared: Arc<StoreShared>,
    _server: FakeServer,
}

impl StoreBox {
    /// Starts an empty store box on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start(shape: StoreBoxShape) -> io::Result<Self> {
        let state = StoreState {
            // A restarted box must not reuse the generations of its earlier incarnation.
            last_generation: rand::random::<u32>() as u64 * 1_000_000,
            ..StoreState::default()
        };
        let shared = Arc::new(StoreShared {
            shape,
            state: Mutex::new(state),
            link_bytes: AtomicU64::new(0),
        });
        let serving = shared.clone();
        let server = FakeServer::start(any_port(), move |conn| serve(serving.clone(), conn))?;
        Ok(StoreBox {
            address: server.address,
            shared,
            _server: server,
        })
    }

    /// Bytes transferred over the link.
    pub fn link_bytes(&self) -> u64 {
        self.shared.link_bytes.load(Ordering::Relaxed)
    }

    /// Number of stored pieces.
    pub fn piece_count(&self) -> usize {
        self.shared.lock().pieces.len()
    }

    /// Flips a bit of a piece, as faulty memory would.
    pub fn corrupt(
        &self,
        key: PieceKey,
    ) {
        if let Some(piece) = self.shared.lock().pieces.get_mut(&key) {
            piece.bytes[0] ^= 1;
        }
    }

    /// Removes all pieces, as if the box had been replaced.
    pub fn clear(&self) {
        let mut state = self.shared.lock();
        state.pieces.clear();
        state.used_bytes = 0;
    }
}

impl StoreShared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the link is free and then for the duration of the transfer.
    async fn transfer(
        &self,
        bytes: u64,
        tier: StoreTier,
    ) {
        self.link_bytes.fetch_add(bytes, Ordering::Relaxed);
        let mut seconds = bytes as f64 / self.shape.link_bytes_per_s;
        if tier == StoreTier::Disk {
            seconds += bytes as f64 / self.shape.disk_bytes_per_s;
        }
        let duration = Duration::from_secs_f64(seconds);
        let until = {
            let mut state = self.lock();
            let now = Instant::now();
            let starts_at = state.link_free_at.map_or(now, |t| t.max(now));
            state.link_free_at = Some(starts_at + duration);
            starts_at + duration
        };
        Timer::at(until).await;
    }
}

async fn serve(
    shared: Arc<StoreShared>,
    conn: Conn,
) -> Conn {
    let path = conn.path().to_string();
    if path == "/pieces" {
        return list(&shared, conn);
    }
    let key = path
        .strip_prefix("/pieces/")
        .and_then(|text| text.parse().ok());
    let Some(key) = key else {
        return status_response(conn, Status::NotFound, "no such path");
    };
    match conn.method() {
        Method::Put => put(&shared, conn, key).await,
        Method::Get => get(&shared, conn, key).await,
        Method::Delete => delete(&shared, conn, key),
        _ => status_response(conn, Status::MethodNotAllowed, ""),
    }
}

fn list(
    shared: &StoreShared,
    conn: Conn,
) -> Conn {
    let state = shared.lock();
    let records = state.pieces.iter().map(|(key, piece)| PieceRecord {
        key: *key,
        tier: piece.tier,
        generation: piece.generation,
        length: piece.bytes.len() as u64,
    });
    let content = PieceList {
        pieces: records.collect(),
    };
    drop(state);
    json_response(conn, &content)
}

async fn put(
    shared: &StoreShared,
    mut conn: Conn,
    key: PieceKey,
) -> Conn {
    let tier = match conn.querystring() {
        "tier=disk" => StoreTier::Disk,
        _ => StoreTier::Memory,
    };
    let checksum = conn
        .request_headers()
        .get_str(CHECKSUM_HEADER)
        .unwrap_or_default()
        .to_string();
    let body = conn.request_body().await.read_bytes().await;
    let Ok(bytes) = body else {
        return status_response(conn, Status::BadRequest, "the piece broke off");
    };
    shared.transfer(bytes.len() as u64, tier).await;
    if piece_checksum(key, &bytes) != checksum {
        return status_response(conn, Status::BadRequest, "the checksum does not fit");
    }
    let mut state = shared.lock();
    let previous = state.pieces.get(&key).map_or(0, |p| p.bytes.len() as u64);
    let used_bytes = state.used_bytes - previous + bytes.len() as u64;
    if used_bytes > shared.shape.capacity_bytes {
        drop(state);
        return status_response(conn, Status::InsufficientStorage, "full");
    }
    state.used_bytes = used_bytes;
    state.last_generation += 1;
    let generation = state.last_generation;
    state.pieces.insert(
        key,
        PieceEntry {
            tier,
            generation,
            checksum,
            bytes,
        },
    );
    drop(state);
    conn.response_headers_mut()
        .insert(GENERATION_HEADER, generation.to_string());
    conn.ok("")
}

async fn get(
    shared: &StoreShared,
    mut conn: Conn,
    key: PieceKey,
) -> Conn {
    let requested = requested_generation(&conn);
    let found = shared.lock().pieces.get(&key).cloned();
    let Some(piece) = found else {
        return status_response(conn, Status::NotFound, "no such piece");
    };
    if requested != Some(piece.generation) {
        return status_response(conn, Status::Conflict, "another generation");
    }
    shared.transfer(piece.bytes.len() as u64, piece.tier).await;
    let headers = conn.response_headers_mut();
    headers.insert(GENERATION_HEADER, piece.generation.to_string());
    headers.insert(CHECKSUM_HEADER, piece.checksum);
    conn.ok(piece.bytes)
}

fn delete(
    shared: &StoreShared,
    conn: Conn,
    key: PieceKey,
) -> Conn {
    let requested = requested_generation(&conn);
    let mut state = shared.lock();
    let found = state.pieces.get(&key).map(|p| p.generation);
    if found.is_none() || found != requested {
        drop(state);
        return status_response(conn, Status::NotFound, "no such generation");
    }
    if let Some(piece) = state.pieces.remove(&key) {
        state.used_bytes -= piece.bytes.len() as u64;
    }
    drop(state);
    conn.ok("")
}

fn requested_generation(conn: &Conn) -> Option<u64> {
    conn.querystring().strip_prefix("generation=")?.parse().ok()
}
