use {
    super::ProxyMode,
    crate::fakes::any_port,
    async_global_executor::Task,
    futures_lite::{future, AsyncReadExt, AsyncWriteExt},
    pitchhitch_process::spawn,
    smol::{
        net::{TcpListener, TcpStream},
        Timer,
    },
    std::{
        io,
        net::{Shutdown, SocketAddr},
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex, PoisonError,
        },
        time::Duration,
    },
};

/// Maximum of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which connections check for a new mode or a cut.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct ProxyState {
    mode: Mutex<ProxyMode>,
    generation: AtomicU64,
    response_bytes: AtomicU64,
    cut_after: Mutex<Option<u64>>,
}

/// Forwards TCP connections to a target, with faults that a test switches.
#[derive(Debug)]
pub struct FaultProxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<ProxyState>,
    _listener: Task<()>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

impl FaultProxy {
    /// Starts a proxy in front of a target.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(any_port()).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ProxyState::default());
        Ok(FaultProxy {
            address,
            _listener: spawn(accept(listener, target, state.clone())),
            state,
        })
    }

    /// Sets the mode of all connections. [`ProxyMode::Cut`] also closes the open ones.
    pub fn set_mode(
        &self,
        mode: ProxyMode,
    ) {
        *self
            .state
            .mode
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = mode;
        if mode == ProxyMode::Cut {
            self.state.generation.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Closes all connections after `bytes` more bytes of responses.
    pub fn cut_after(
        &self,
        bytes: u64,
    ) {
        *self
            .state
            .cut_after
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(bytes);
    }

    /// Bytes of responses read from the target, except those dropped by
    /// [`ProxyMode::DropResponses`].
    pub fn response_bytes(&self) -> u64 {
        self.state.response_bytes.load(Ordering::Relaxed)
    }
}

impl ProxyState {
    fn mode(&self) -> ProxyMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many of `length` response bytes may pass before the cut; `None` if none.
    fn allow(
        &self,
        length: usize,
    ) -> Option<usize> {
        let mut cut_after = self
            .cut_after
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(remaining) = *cut_after else {
            return Some(length);
        };
        if remaining >= length as u64 {
            *cut_after = Some(remaining - length as u64);
            return Some(length);
        }
        *cut_after = None;
        self.generation.fetch_add(1, Ordering::Relaxed);
        if remaining == 0 {
            None
        } else {
            Some(remaining as usize)
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<ProxyState>,
) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        if state.mode() == ProxyMode::Cut {
            let _ = stream.shutdown(Shutdown::Both);
            continue;
        }
        connections.push(spawn(forward(stream, target, state.clone())));
        connections.retain(|task| !task.is_finished());
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    state: Arc<ProxyState>,
) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        let _ = client.shutdown(Shutdown::Both);
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let generation = state.generation.load(Ordering::Relaxed);
    let requests = copy(
        client.clone(),
        upstream.clone(),
        Direction::Request,
        state.clone(),
    );
    let responses = copy(
        upstream.clone(),
        client.clone(),
        Direction::Response,
        state.clone(),
    );
    let both = async {
        future::zip(requests, responses).await;
    };
    let cut = async {
        while state.generation.load(Ordering::Relaxed) == generation {
            Timer::after(MODE_POLL_INTERVAL).await;
        }
    };
    future::or(both, cut).await;
    let _ = client.shutdown(Shutdown::Both);
    let _ = upstream.shutdown(Shutdown::Both);
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    state: Arc<ProxyState>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        while state.mode() == ProxyMode::Freeze {
            Timer::after(MODE_POLL_INTERVAL).await;
        }
        if let ProxyMode::Delay(delay) = state.mode() {
            Timer::after(delay).await;
        }
        let mut forwarded = length;
        if direction == Direction::Response {
            if state.mode() == ProxyMode::DropResponses {
                state.generation.fetch_add(1, Ordering::Relaxed);
                break;
            }
            state
                .response_bytes
                .fetch_add(length as u64, Ordering::Relaxed);
            match state.allow(length) {
                Some(limit) => forwarded = limit,
                None => break,
            }
        }
        // Nothing after a cut may be forwarded: a connection never loses bytes from its middle.
        let is_cut = forwarded < length;
        if to.write_all(&buffer[..forwarded]).await.is_err() || is_cut {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
