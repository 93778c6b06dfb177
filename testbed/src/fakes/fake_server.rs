use {
    std::{future::Future, io, net::SocketAddr},
    trillium::{Conn, Status},
    trillium_smol::Stopper,
};

/// Maximum size of a request head; large, as a header lists the keys of a prompt's pieces.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// HTTP server of a fake; it stops when dropped.
#[derive(Debug)]
pub struct FakeServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    stopper: Stopper,
}

impl FakeServer {
    /// Starts a server on loopback; with port zero the system chooses the port.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start<F>(
        address: SocketAddr,
        handler: impl Fn(Conn) -> F + Send + Sync + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = Conn> + Send + 'static,
    {
        let listener = std::net::TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let listener = smol::net::TcpListener::from(smol::Async::new(listener)?);
        let stopper = Stopper::new();
        let _handle = trillium_smol::config()
            .with_nodelay()
            .without_signals()
            .with_http_config(trillium_http_config())
            .with_stopper(stopper.clone())
            .with_prebound_server(listener)
            .spawn(handler);
        Ok(FakeServer { address, stopper })
    }
}

fn trillium_http_config() -> trillium::HttpConfig {
    trillium::HttpConfig::default()
        .with_head_max_len(MAX_HEAD_BYTES)
        .with_received_body_max_len(u64::from(u32::MAX))
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.stopper.stop();
    }
}

/// The loopback address with port zero, for which the system chooses a port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Reads a complete body; an unreadable body counts as empty.
pub async fn read_body(conn: &mut Conn) -> Vec<u8> {
    conn.request_body()
        .await
        .read_bytes()
        .await
        .unwrap_or_default()
}

/// Responds with JSON.
pub fn json_response(
    mut conn: Conn,
    value: &impl serde::Serialize,
) -> Conn {
    let body = serde_json::to_string(value).unwrap_or_default();
    conn.response_headers_mut()
        .insert("content-type", "application/json");
    conn.ok(body)
}

/// Responds with a status and a text.
pub fn status_response(
    conn: Conn,
    status: Status,
    text: &str,
) -> Conn {
    conn.with_status(status).with_body(text.to_string()).halt()
}
