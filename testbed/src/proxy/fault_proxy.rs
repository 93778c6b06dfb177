use {
    super::ProxyMode,
    crate::stand_ins::any_port,
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

/// Bytes passed on in one go.
const CHUNK: usize = 16 * 1024;
/// How often a held connection looks whether the mode has changed.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct ProxyState {
    mode: Mutex<ProxyMode>,
    generation: AtomicU64,
    bytes: AtomicU64,
    cut_after: Mutex<Option<u64>>,
}

/// Passes TCP connections on to a target, with faults that a test switches.
#[derive(Debug)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<ProxyState>,
    _listener: Task<()>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Question,
    Answer,
}

impl FaultProxy {
    /// Starts a proxy before a target.
    ///
    /// # Errors
    /// When no port can be bound.
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

    /// Changes what happens from now on. Connections are closed by [`ProxyMode::Cut`].
    pub fn set(
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

    /// Cuts all connections once so many more bytes of answers have passed.
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

    /// Bytes of answers that have passed.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }
}

impl ProxyState {
    fn mode(&self) -> ProxyMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many of so many bytes of answers may pass before the cut.
    fn allowed(
        &self,
        length: usize,
    ) -> Option<usize> {
        let mut cut_after = self
            .cut_after
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(left) = *cut_after else {
            return Some(length);
        };
        if left >= length as u64 {
            *cut_after = Some(left - length as u64);
            return Some(length);
        }
        *cut_after = None;
        self.generation.fetch_add(1, Ordering::Relaxed);
        if left == 0 {
            None
        } else {
            Some(left as usize)
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<ProxyState>,
) {
    let mut passing = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        if state.mode() == ProxyMode::Cut {
            let _ = stream.shutdown(Shutdown::Both);
            continue;
        }
        passing.push(spawn(pass(stream, target, state.clone())));
        passing.retain(|task| !task.is_finished());
    }
}

async fn pass(
    near: TcpStream,
    target: SocketAddr,
    state: Arc<ProxyState>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        let _ = near.shutdown(Shutdown::Both);
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let generation = state.generation.load(Ordering::Relaxed);
    let questions = copy(
        near.clone(),
        far.clone(),
        Direction::Question,
        state.clone(),
    );
    let answers = copy(far.clone(), near.clone(), Direction::Answer, state.clone());
    let both = async {
        future::zip(questions, answers).await;
    };
    let cut = async {
        while state.generation.load(Ordering::Relaxed) == generation {
            Timer::after(LOOK).await;
        }
    };
    future::or(both, cut).await;
    let _ = near.shutdown(Shutdown::Both);
    let _ = far.shutdown(Shutdown::Both);
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    state: Arc<ProxyState>,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        while state.mode() == ProxyMode::Freeze {
            Timer::after(LOOK).await;
        }
        if let ProxyMode::Delay(span) = state.mode() {
            Timer::after(span).await;
        }
        let mut passed = length;
        if direction == Direction::Answer {
            if state.mode() == ProxyMode::LoseAnswers {
                state.generation.fetch_add(1, Ordering::Relaxed);
                break;
            }
            state.bytes.fetch_add(length as u64, Ordering::Relaxed);
            match state.allowed(length) {
                Some(allowed) => passed = allowed,
                None => break,
            }
        }
        // What follows a cut must not pass: bytes of a connection never go
        // missing in its middle.
        let is_cut = passed < length;
        if to.write_all(&buffer[..passed]).await.is_err() || is_cut {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
