use {
    super::{answer_json, answer_status, any_port, HttpStandIn},
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

/// How a store box is built.
#[derive(Debug, Clone, Copy)]
pub struct StoreBoxShape {
    /// Bytes that it holds.
    pub room: u64,
    /// Bytes a second over its link, both ways together.
    pub link_rate: f64,
    /// Bytes a second that its disk gives.
    pub disk_rate: f64,
}

impl Default for StoreBoxShape {
    fn default() -> Self {
        StoreBoxShape {
            room: 256 * 1024 * 1024,
            link_rate: 50.0e6,
            disk_rate: 20.0e6,
        }
    }
}

#[derive(Debug, Clone)]
struct SealedPiece {
    tier: StoreTier,
    generation: u64,
    checksum: String,
    bytes: Vec<u8>,
}

#[derive(Debug, Default)]
struct StoreState {
    pieces: BTreeMap<PieceKey, SealedPiece>,
    used: u64,
    last_generation: u64,
    link_free_at: Option<Instant>,
}

#[derive(Debug)]
struct StoreShared {
    shape: StoreBoxShape,
    state: Mutex<StoreState>,
    link_bytes: AtomicU64,
}

/// Stand-in for a store box. Dropped and started anew it is empty.
#[derive(Debug)]
pub struct StoreBox {
    /// Where it answers.
    pub address: SocketAddr,
    shared: Arc<StoreShared>,
    _server: HttpStandIn,
}

impl StoreBox {
    /// Starts an empty store box.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(shape: StoreBoxShape) -> io::Result<Self> {
        let state = StoreState {
            // A box that starts anew must not reuse the generations of its former life.
            last_generation: rand::random::<u32>() as u64 * 1_000_000,
            ..StoreState::default()
        };
        let shared = Arc::new(StoreShared {
            shape,
            state: Mutex::new(state),
            link_bytes: AtomicU64::new(0),
        });
        let serving = shared.clone();
        let server = HttpStandIn::start(any_port(), move |conn| serve(serving.clone(), conn))?;
        Ok(StoreBox {
            address: server.address,
            shared,
            _server: server,
        })
    }

    /// Bytes that have gone over the link.
    pub fn link_bytes(&self) -> u64 {
        self.shared.link_bytes.load(Ordering::Relaxed)
    }

    /// Pieces that are sealed.
    pub fn piece_count(&self) -> usize {
        self.shared.lock().pieces.len()
    }

    /// Changes a byte of a piece, as a failing memory would.
    pub fn damage(
        &self,
        key: PieceKey,
    ) {
        if let Some(piece) = self.shared.lock().pieces.get_mut(&key) {
            piece.bytes[0] ^= 1;
        }
    }

    /// Drops everything, as if the box had been replaced.
    pub fn empty(&self) {
        let mut state = self.shared.lock();
        state.pieces.clear();
        state.used = 0;
    }
}

impl StoreShared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the link's turn, then for the bytes to pass.
    async fn pass_link(
        &self,
        bytes: u64,
        tier: StoreTier,
    ) {
        self.link_bytes.fetch_add(bytes, Ordering::Relaxed);
        let mut seconds = bytes as f64 / self.shape.link_rate;
        if tier == StoreTier::Disk {
            seconds += bytes as f64 / self.shape.disk_rate;
        }
        let span = Duration::from_secs_f64(seconds);
        let until = {
            let mut state = self.lock();
            let now = Instant::now();
            let begin = state.link_free_at.map_or(now, |t| t.max(now));
            state.link_free_at = Some(begin + span);
            begin + span
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
        return answer_status(conn, Status::NotFound, "no such path");
    };
    match conn.method() {
        Method::Put => put(&shared, conn, key).await,
        Method::Get => get(&shared, conn, key).await,
        Method::Delete => delete(&shared, conn, key),
        _ => answer_status(conn, Status::MethodNotAllowed, ""),
    }
}

fn list(
    shared: &StoreShared,
    conn: Conn,
) -> Conn {
    let state = shared.lock();
    let rows = state.pieces.iter().map(|(key, piece)| PieceRecord {
        key: *key,
        tier: piece.tier,
        generation: piece.generation,
        length: piece.bytes.len() as u64,
    });
    let content = PieceList {
        pieces: rows.collect(),
    };
    drop(state);
    answer_json(conn, &content)
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
        return answer_status(conn, Status::BadRequest, "the piece broke off");
    };
    shared.pass_link(bytes.len() as u64, tier).await;
    if piece_checksum(key, &bytes) != checksum {
        return answer_status(conn, Status::BadRequest, "the checksum does not fit");
    }
    let mut state = shared.lock();
    let former = state.pieces.get(&key).map_or(0, |p| p.bytes.len() as u64);
    let used = state.used - former + bytes.len() as u64;
    if used > shared.shape.room {
        drop(state);
        return answer_status(conn, Status::InsufficientStorage, "full");
    }
    state.used = used;
    state.last_generation += 1;
    let generation = state.last_generation;
    state.pieces.insert(
        key,
        SealedPiece {
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
    let wanted = asked_generation(&conn);
    let found = shared.lock().pieces.get(&key).cloned();
    let Some(piece) = found else {
        return answer_status(conn, Status::NotFound, "no such piece");
    };
    if wanted != Some(piece.generation) {
        return answer_status(conn, Status::Conflict, "another generation");
    }
    shared.pass_link(piece.bytes.len() as u64, piece.tier).await;
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
    let wanted = asked_generation(&conn);
    let mut state = shared.lock();
    let found = state.pieces.get(&key).map(|p| p.generation);
    if found.is_none() || found != wanted {
        drop(state);
        return answer_status(conn, Status::NotFound, "no such generation");
    }
    if let Some(piece) = state.pieces.remove(&key) {
        state.used -= piece.bytes.len() as u64;
    }
    drop(state);
    conn.ok("")
}

fn asked_generation(conn: &Conn) -> Option<u64> {
    conn.querystring().strip_prefix("generation=")?.parse().ok()
}
