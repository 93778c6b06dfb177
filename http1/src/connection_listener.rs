use {
    super::{parse_request_head, ConnectionCapacity, IdleConnections, TcpConnection, TcpKeepalive},
    futures_lite::future::{or, yield_now},
    smol::{net::TcpListener, Async, LocalExecutor, Timer},
    std::{future::Future, io::Error, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

/// Maximum length of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a connection could not be accepted. Some errors stay, such as too many open files, and
/// the tasks that would end them need the thread.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections, also after errors.
#[derive(Debug)]
pub struct ConnectionListener {
    listener: TcpListener,
    idle: Rc<IdleConnections>,
}

impl ConnectionListener {
    /// Listens on `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(ConnectionListener {
            listener: TcpListener::bind(address).await?,
            idle: Rc::default(),
        })
    }

    /// Sets the idle connections of which one is closed when the process is out of descriptors.
    pub fn with_idle(
        self,
        idle: Rc<IdleConnections>,
    ) -> Self {
        ConnectionListener { idle, ..self }
    }

    /// Address at which the listener is bound.
    ///
    /// # Errors
    /// If the system does not tell it.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Waits for the next connection, and retries with a delay after an error. The first error of
    /// several in a row is logged.
    pub async fn accept(&self) -> Async<std::net::TcpStream> {
        let mut has_failed = false;
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let stream: Arc<Async<std::net::TcpStream>> = stream.into();
                    if let Some(stream) = Arc::into_inner(stream) {
                        return stream;
                    }
                }
                Err(error) if has_failed => {
                    log::debug!(event = "accept-failed", error = error.to_string().as_str(); "");
                }
                Err(error) => {
                    has_failed = true;
                    let address = self.local_address();
                    let address = address.map_or_else(|_| String::new(), |a| a.to_string());
                    let error = error.to_string();
                    log::warn!(
                        event = "accept-failed",
                        listener = address.as_str(),
                        error = error.as_str();
                        ""
                    );
                }
            }
            if has_failed {
                self.idle.evict_oldest();
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Like [`ConnectionListener::accept`], with the options of a connection set.
    pub async fn next(&self) -> TcpConnection {
        loop {
            let stream = self.accept().await;
            if let Ok(connection) = TcpConnection::new(stream, &TcpKeepalive::INBOUND) {
                return connection;
            }
        }
    }
}

/// Returns status and body for a request path.
pub type PathHandler<Context> = fn(&Context, &str) -> (u16, Vec<u8>);

/// Listens on `address` and returns a future that serves requests there, such as readiness
/// checks, for as long as it is polled. Of too many idle connections the oldest one is closed.
///
/// # Errors
/// If the address cannot be bound; the error contains the address.
pub async fn serve_paths<Context: 'static>(
    address: SocketAddr,
    context: Rc<Context>,
    handler: PathHandler<Context>,
) -> std::io::Result<impl Future<Output = ()>> {
    let bound = ConnectionListener::bind(address).await;
    let listener = bound.map_err(|error| with_address(address, &error))?;
    let connections = LocalExecutor::new();
    let max_idle = ConnectionCapacity::of_process(None).for_service();
    Ok(async move {
        let accept = async {
            loop {
                let connection = listener.next().await;
                let shared = context.clone();
                let idle = listener.idle.clone();
                if idle.len() >= max_idle {
                    idle.evict_oldest();
                }
                let handler = move |target: &str| handler(&shared, target);
                let served = serve_connection(connection, idle, handler);
                connections.spawn(served).detach();
                // It counts as idle before the next one is accepted.
                yield_now().await;
            }
        };
        connections.run(accept).await
    })
}

fn with_address(
    address: SocketAddr,
    error: &Error,
) -> Error {
    Error::new(error.kind(), format!("cannot listen on {address}: {error}"))
}

/// Serves the requests of one connection; `handler` returns status and body for a path.
async fn serve_connection<Body: Into<Vec<u8>>>(
    mut connection: TcpConnection,
    idle: Rc<IdleConnections>,
    handler: impl Fn(&str) -> (u16, Body),
) {
    loop {
        let head = match parse_request_head(connection.buffer(), MAX_HEAD_BYTES) {
            Ok(Some((head, length))) => {
                connection.consume(length);
                head
            }
            Ok(None) if read_while_idle(&mut connection, &idle).await => continue,
            Ok(None) | Err(_) => return,
        };
        let (status, body) = handler(&head.target);
        let body: Vec<u8> = body.into();
        let reason = if status == 200 {
            "OK"
        } else {
            "Service Unavailable"
        };
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\ncontent-type: text/plain\r\n\
             content-length: {length}\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        let written = async { connection.write_all(&bytes).await.is_ok() };
        if !within_timeout(written).await {
            return;
        }
    }
}

/// Reads more of a request; false if the connection has ended or is to be closed.
async fn read_while_idle(
    connection: &mut TcpConnection,
    idle: &Rc<IdleConnections>,
) -> bool {
    let period = idle.enter(connection.peer_address());
    let evicted = async {
        period.evicted().await;
        false
    };
    let read = async { matches!(connection.read_first().await, Ok(count) if count > 0) };
    within_timeout(or(read, evicted)).await
}

/// Runs a future; false if it takes longer than a connection may be idle.
async fn within_timeout(future: impl Future<Output = bool>) -> bool {
    let timed_out = async {
        Timer::after(IDLE_TIMEOUT).await;
        false
    };
    or(future, timed_out).await
}
