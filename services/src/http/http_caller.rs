use {
    super::CallError,
    futures_lite::future,
    serde::{de::DeserializeOwned, Serialize},
    smol::Timer,
    std::{net::SocketAddr, time::Duration},
    trillium_client::{Client, Conn},
    trillium_smol::ClientConfig,
};

/// Bytes of an error answer that are kept.
const ERROR_TEXT_LIMIT: usize = 300;
/// Longest answer that is read, in bytes.
pub const ANSWER_LIMIT: u64 = 64 * 1024 * 1024;

/// Makes HTTP calls to one service, each within a time limit.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    client: Client,
    base: String,
    timeout: Duration,
}

/// An answer with success status.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Body, whole.
    pub body: Vec<u8>,
    conn: Conn,
}

impl HttpAnswer {
    /// One header of the answer.
    pub fn header(
        &self,
        name: &'static str,
    ) -> Option<&str> {
        self.conn.response_headers().get_str(name)
    }
}

impl HttpCaller {
    /// A caller for the service at `address`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        HttpCaller {
            client: Client::new(ClientConfig::new().with_nodelay(true)).with_default_pool(),
            base: format!("http://{address}"),
            timeout,
        }
    }

    /// A fresh request for a path; see [`HttpCaller::send`].
    pub fn request(
        &self,
        method: &str,
        path: &str,
    ) -> Conn {
        self.client
            .build_conn(method, format!("{}{path}", self.base))
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// [`CallError`] when no answer with success status came in time.
    pub async fn send(
        &self,
        conn: Conn,
    ) -> Result<HttpAnswer, CallError> {
        let url = conn.url().to_string();
        let timed_out = async {
            Timer::after(self.timeout).await;
            Err(CallError::NoAnswer {
                url: url.clone(),
                reason: format!("nothing within {:?}", self.timeout),
            })
        };
        future::or(Self::exchange(conn, &url), timed_out).await
    }

    async fn exchange(
        conn: Conn,
        url: &str,
    ) -> Result<HttpAnswer, CallError> {
        let no_answer = |error: trillium_client::Error| CallError::NoAnswer {
            url: url.to_string(),
            reason: error.to_string(),
        };
        let mut conn = conn.await.map_err(no_answer)?;
        let body = conn.response_body().with_max_len(ANSWER_LIMIT);
        let body = body.read_bytes().await.map_err(no_answer)?;
        let status = conn.status().map_or(0, |s| s as u16);
        if !(200..300).contains(&status) {
            let text = String::from_utf8_lossy(&body);
            return Err(CallError::Status {
                url: url.to_string(),
                status,
                text: text.chars().take(ERROR_TEXT_LIMIT).collect(),
            });
        }
        Ok(HttpAnswer { body, conn })
    }

    /// Posts JSON and reads JSON.
    ///
    /// # Errors
    /// [`CallError`] when no such answer came in time.
    pub async fn post_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, CallError> {
        let body = serde_json::to_vec(question).map_err(|e| CallError::BadAnswer {
            url: path.to_string(),
            reason: e.to_string(),
        })?;
        let conn = self.request("POST", path);
        let conn = conn
            .with_request_header("content-type", "application/json")
            .with_body(body);
        let answer = self.send(conn).await?;
        self.read_json(path, &answer)
    }

    /// Gets JSON.
    ///
    /// # Errors
    /// [`CallError`] when no such answer came in time.
    pub async fn get_json<A: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<A, CallError> {
        let answer = self.send(self.request("GET", path)).await?;
        self.read_json(path, &answer)
    }

    fn read_json<A: DeserializeOwned>(
        &self,
        path: &str,
        answer: &HttpAnswer,
    ) -> Result<A, CallError> {
        serde_json::from_slice(&answer.body).map_err(|e| CallError::BadAnswer {
            url: format!("{}{path}", self.base),
            reason: e.to_string(),
        })
    }
}
