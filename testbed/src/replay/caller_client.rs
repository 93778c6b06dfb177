use {
    crate::engine::ResponseText,
    futures_lite::AsyncReadExt,
    serde_json::{json, Value},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    trillium_client::{Client, Conn},
    trillium_smol::ClientConfig,
};

const READ_CHUNK_BYTES: usize = 8 * 1024;

/// HTTP client that sends callers' requests to an entry process, or directly to an
/// engine.
#[derive(Debug, Clone)]
pub struct CallerClient {
    client: Client,
}

/// A chat completion request with one user message.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Address of the entry process or engine.
    pub address: SocketAddr,
    /// Bearer key; sent unless empty.
    pub key: String,
    /// Model.
    pub model: String,
    /// Text of the user's message.
    pub text: String,
    /// Output tokens, sent as `max_tokens`.
    pub answer_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Value of the header `x-pitchhitch-label`.
    pub label: String,
    /// Additional headers.
    pub headers: Vec<RequestHeader>,
}

/// A request header.
#[derive(Debug, Clone)]
pub struct RequestHeader {
    /// Name.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

/// A response as the caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// HTTP status; 0 if no response was received.
    pub status: u16,
    /// Generated text, or the body of a plain response or an error.
    pub text: String,
    /// Whether the response was received to its end; a stream must end with `[DONE]`.
    pub is_complete: bool,
    /// Time to the first token, or to the first byte of a body without events.
    pub first_token: Duration,
    /// Time to the end of the response.
    pub total: Duration,
    /// Value of the header `x-request-id`.
    pub request_id: String,
    /// Value of the header `x-pitchhitch-ran`: whether a failed request ran.
    pub ran: String,
    /// Value of the header `retry-after`, in seconds.
    pub retry_after: Option<u64>,
}

impl Default for CallerClient {
    fn default() -> Self {
        CallerClient {
            client: Client::new(ClientConfig::new().with_nodelay(true)).with_default_pool(),
        }
    }
}

/// Prompt text that a chat with one user message is converted to.
pub fn chat_prompt(text: &str) -> Vec<u8> {
    format!("user\n{text}\n").into_bytes()
}

/// The text that an engine generates for a chat with one user message.
pub fn expected_response(
    text: &str,
    version: &str,
    tokens: u32,
) -> String {
    ResponseText::new(&chat_prompt(text), version).words(tokens)
}

impl CallerClient {
    /// Sends a chat completion request and reads the response to its end.
    pub async fn chat(
        &self,
        request: &ChatRequest,
    ) -> CallerResponse {
        let body = json!({
            "model": request.model, "stream": request.stream, "max_tokens": request.answer_tokens,
            "messages": [{"role": "user", "content": request.text}],
        });
        let url = format!("http://{}/v1/chat/completions", request.address);
        let mut conn = self
            .client
            .build_conn("POST", url)
            .with_request_header("content-type", "application/json")
            .with_request_header("x-pitchhitch-label", request.label.clone())
            .with_body(body.to_string());
        conn = with_bearer_key(conn, &request.key);
        for header in &request.headers {
            conn = conn.with_request_header(header.name, header.value.clone());
        }
        if request.stream {
            read_response(conn, parse_stream).await
        } else {
            read_response(conn, parse_chat).await
        }
    }

    /// Sends a request; the text of the response is its body.
    pub async fn send_request(
        &self,
        method: &str,
        url: &str,
        key: &str,
        headers: &[RequestHeader],
        body: String,
    ) -> CallerResponse {
        let mut conn = with_bearer_key(self.client.build_conn(method, url), key);
        for header in headers {
            conn = conn.with_request_header(header.name, header.value.clone());
        }
        read_response(conn.with_body(body), parse_plain).await
    }
}

fn with_bearer_key(
    conn: Conn,
    key: &str,
) -> Conn {
    if key.is_empty() {
        return conn;
    }
    conn.with_request_header("authorization", format!("Bearer {key}"))
}

/// Content of a response body.
struct ParsedBody {
    text: String,
    is_complete: bool,
}

async fn read_response(
    conn: Conn,
    parse: fn(&[u8]) -> ParsedBody,
) -> CallerResponse {
    let started = Instant::now();
    let mut response = CallerResponse {
        status: 0,
        text: String::new(),
        is_complete: false,
        first_token: Duration::ZERO,
        total: Duration::ZERO,
        request_id: String::new(),
        ran: String::new(),
        retry_after: None,
    };
    let mut conn = match conn.await {
        Ok(conn) => conn,
        Err(error) => {
            response.text = error.to_string();
            response.total = started.elapsed();
            return response;
        }
    };
    response.status = conn.status().map_or(0, |s| s as u16);
    let header = |name: &'static str| conn.response_headers().get_str(name).unwrap_or_default();
    response.request_id = header("x-request-id").to_string();
    response.ran = header("x-pitchhitch-ran").to_string();
    response.retry_after = header("retry-after").parse().ok();
    let mut body = Vec::new();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    let ended = loop {
        match conn.response_body().read(&mut chunk).await {
            Ok(0) => break true,
            Ok(length) => {
                body.extend_from_slice(&chunk[..length]);
                if response.first_token.is_zero() && has_first_token(&body) {
                    response.first_token = started.elapsed();
                }
            }
            Err(_) => break false,
        }
    };
    if !ended {
        // A broken connection must not return to the pool.
        conn.response_headers_mut().insert("connection", "close");
    }
    response.total = started.elapsed();
    let parsed = match response.status {
        200 => parse(&body),
        _ => parse_plain(&body),
    };
    response.text = parsed.text;
    response.is_complete = ended && parsed.is_complete;
    response
}

/// Whether a body contains its first token: a `data:` line if it starts with an SSE
/// comment, otherwise any byte.
fn has_first_token(body: &[u8]) -> bool {
    match body.first() {
        Some(b':') => body.windows(6).any(|w| w == b"data: "),
        _ => !body.is_empty(),
    }
}

fn parse_plain(body: &[u8]) -> ParsedBody {
    ParsedBody {
        text: String::from_utf8_lossy(body).to_string(),
        is_complete: true,
    }
}

fn parse_chat(body: &[u8]) -> ParsedBody {
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let content = value["choices"][0]["message"]["content"].as_str();
    ParsedBody {
        text: content.unwrap_or_default().to_string(),
        is_complete: content.is_some(),
    }
}

fn parse_stream(body: &[u8]) -> ParsedBody {
    let text = String::from_utf8_lossy(body);
    let mut content = String::new();
    let mut done = false;
    let mut malformed = false;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        // A malformed event must not be treated as an empty one.
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            malformed = true;
            continue;
        };
        content.push_str(
            value["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    ParsedBody {
        text: content,
        is_complete: done && !malformed,
    }
}
