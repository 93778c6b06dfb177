use {
    super::CallError,
    futures_lite::future,
    serde::{de::DeserializeOwned, Serialize},
    smol::Timer,
    std::{net::SocketAddr, time::Duration},
    trillium_client::{Client, Conn},
    trillium_smol::ClientConfig,
};

/// Maximum number of characters of an error response that are reported.
const MAX_ERROR_TEXT_CHARS: usize = 300;
/// Maximum length of a response body, in bytes.
pub const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// HTTP client of one service, with a timeout per call.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    client: Client,
    base_url: String,
    timeout: Duration,
}

/// A response with a success status.
#[derive(Debug)]
pub struct HttpResponse {
    /// Complete body.
    pub body: Vec<u8>,
    conn: Conn,
}

impl HttpResponse {
    /// Returns a header of the response.
    pub fn header(
        &self,
        name: &'static str,
    ) -> Option<&str> {
        self.conn.response_headers().get_str(name)
    }
}

impl ServiceClient {
    /// Creates a client of the service at `address`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        ServiceClient {
            client: Client::new(ClientConfig::new().with_nodelay(true)).with_default_pool(),
            base_url: format!("http://{address}"),
            timeout,
        }
    }

    /// Builds a request for a path, to be sent by [`ServiceClient::send`].
    pub fn request(
        &self,
        method: &str,
        path: &str,
    ) -> Conn {
        self.client
            .build_conn(method, format!("{}{path}", self.base_url))
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// [`CallError`] if no response with a success status was received in time.
    pub async fn send(
        &self,
        conn: Conn,
    ) -> Result<HttpResponse, CallError> {
        let url = conn.url().to_string();
        let timed_out = async {
            Timer::after(self.timeout).await;
            Err(CallError::NoResponse {
                url: url.clone(),
                reason: format!("timed out after {:?}", self.timeout),
            })
        };
        future::or(Self::exchange(conn, &url), timed_out).await
    }

    async fn exchange(
        conn: Conn,
        url: &str,
    ) -> Result<HttpResponse, CallError> {
        let no_response = |error: trillium_client::Error| CallError::NoResponse {
            url: url.to_string(),
            reason: error.to_string(),
        };
        let mut conn = conn.await.map_err(no_response)?;
        let body = conn.response_body().with_max_len(MAX_RESPONSE_BYTES);
        let body = body.read_bytes().await.map_err(no_response)?;
        let status = conn.status().map_or(0, |s| s as u16);
        if !(200..300).contains(&status) {
            let text = String::from_utf8_lossy(&body);
            return Err(CallError::Status {
                url: url.to_string(),
                status,
                text: text.chars().take(MAX_ERROR_TEXT_CHARS).collect(),
            });
        }
        Ok(HttpResponse { body, conn })
    }

    /// Sends a JSON body by POST and parses the JSON response.
    ///
    /// # Errors
    /// [`CallError`] if no valid response was received in time.
    pub async fn post_json<Req: Serialize, Res: DeserializeOwned>(
        &self,
        path: &str,
        request_body: &Req,
    ) -> Result<Res, CallError> {
        let body = serde_json::to_vec(request_body).map_err(|e| CallError::InvalidResponse {
            url: path.to_string(),
            reason: e.to_string(),
        })?;
        let conn = self.request("POST", path);
        let conn = conn
            .with_request_header("content-type", "application/json")
            .with_body(body);
        let response = self.send(conn).await?;
        self.read_json(path, &response)
    }

    /// Sends a GET request and parses the JSON response.
    ///
    /// # Errors
    /// [`CallError`] if no valid response was received in time.
    pub async fn get_json<Res: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Res, CallError> {
        let response = self.send(self.request("GET", path)).await?;
        self.read_json(path, &response)
    }

    fn read_json<Res: DeserializeOwned>(
        &self,
        path: &str,
        response: &HttpResponse,
    ) -> Result<Res, CallError> {
        serde_json::from_slice(&response.body).map_err(|e| CallError::InvalidResponse {
            url: format!("{}{path}", self.base_url),
            reason: e.to_string(),
        })
    }
}
