use {
    super::{any_port, json_response, read_body, FakeServer},
    smol::Timer,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    trillium::{Conn, Method},
};

/// Processing time of a call.
const REQUEST_DURATION: Duration = Duration::from_millis(3);

/// Counts executed calls by the text of their body. All services of a group share it, so that a
/// call that was executed twice anywhere is detected.
#[derive(Debug, Clone, Default)]
pub struct RunCounter {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl RunCounter {
    fn record(
        &self,
        body: &str,
    ) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(body.to_string()).or_insert(0) += 1;
    }

    /// Number of executions of the call with this body.
    pub fn count(
        &self,
        body: &str,
    ) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(body).copied().unwrap_or(0)
    }

    /// Largest number of executions of any call.
    pub fn max_count(&self) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.values().copied().max().unwrap_or(0)
    }
}

/// Fake plain service, such as one that accepts purchase orders.
#[derive(Debug)]
pub struct PlainService {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    _server: FakeServer,
}

impl PlainService {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn start(counter: RunCounter) -> io::Result<Self> {
        let server = FakeServer::start(any_port(), move |conn| serve(counter.clone(), conn))?;
        Ok(PlainService {
            address: server.address,
            _server: server,
        })
    }
}

/// Response of the service, which repeats the call.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServiceResponse {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body as received.
    pub body: String,
}

async fn serve(
    counter: RunCounter,
    mut conn: Conn,
) -> Conn {
    if conn.method() == Method::Get && conn.path() == "/healthz" {
        return conn.ok("ok");
    }
    let body = read_body(&mut conn).await;
    let body = String::from_utf8_lossy(&body).to_string();
    Timer::after(REQUEST_DURATION).await;
    counter.record(&body);
    let mut path = conn.path().to_string();
    if !conn.querystring().is_empty() {
        path = format!("{path}?{}", conn.querystring());
    }
    let response = ServiceResponse {
        method: conn.method().to_string(),
        path,
        body,
    };
    json_response(conn, &response)
}
