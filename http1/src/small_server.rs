use {
    super::{read_request_head, ByteLink, SilenceLimit},
    smol::{net::TcpListener, Async, LocalExecutor, Timer},
    std::{future::Future, io::Error, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

/// Longest head of a question, in bytes.
const HEAD_LIMIT: usize = 8 << 10;
/// Time for which a connection may rest.
const REST_LIMIT: Duration = Duration::from_secs(30);

/// A server for small questions, such as whether a process is ready.
#[derive(Debug)]
pub struct SmallServer {
    listener: TcpListener,
}

impl SmallServer {
    /// Binds to an address.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(SmallServer {
            listener: TcpListener::bind(address).await?,
        })
    }

    /// Waits for the next connection; those that fail at once are passed over.
    pub async fn next(&self) -> ByteLink {
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                continue;
            };
            let stream: Arc<Async<std::net::TcpStream>> = stream.into();
            let link = Arc::into_inner(stream);
            let link = link.map(|stream| ByteLink::new(stream, &SilenceLimit::INWARD));
            if let Some(Ok(link)) = link {
                return link;
            }
        }
    }
}

/// What a process says to a path: status and body.
pub type SmallAnswer<Context> = fn(&Context, &str) -> (u16, Vec<u8>);

/// Binds to an address; the future that comes back answers small questions there, such
/// as whether a process is ready, for as long as it is run.
///
/// # Errors
/// When the address cannot be bound; the error names it.
pub async fn serve_small<Context: 'static>(
    address: SocketAddr,
    context: Rc<Context>,
    answer: SmallAnswer<Context>,
) -> std::io::Result<impl Future<Output = ()>> {
    let bound = SmallServer::bind(address).await;
    let server = bound.map_err(|error| name_address(address, &error))?;
    let connections = LocalExecutor::new();
    Ok(async move {
        let accept = async {
            loop {
                let link = server.next().await;
                let asked = context.clone();
                let answers = answer_small(link, move |target| answer(&asked, target));
                connections.spawn(answers).detach();
            }
        };
        connections.run(accept).await
    })
}

fn name_address(
    address: SocketAddr,
    error: &Error,
) -> Error {
    Error::new(error.kind(), format!("cannot listen on {address}: {error}"))
}

/// Answers the questions of one connection; `answer` gives status and body for a path.
pub async fn answer_small<Body: Into<Vec<u8>>>(
    mut link: ByteLink,
    answer: impl Fn(&str) -> (u16, Body),
) {
    loop {
        let head = match read_request_head(link.unused(), HEAD_LIMIT) {
            Ok(Some((head, length))) => {
                link.use_up(length);
                head
            }
            Ok(None) if more_came(&mut link).await => continue,
            Ok(None) | Err(_) => return,
        };
        let (status, body) = answer(&head.target);
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
        if link.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn more_came(link: &mut ByteLink) -> bool {
    let late = async {
        Timer::after(REST_LIMIT).await;
        false
    };
    let read = async { matches!(link.read_more().await, Ok(count) if count > 0) };
    futures_lite::future::or(read, late).await
}
