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

/// Bytes read in one go.
const CHUNK: usize = 8 * 1024;

/// A caller of an entry process, or of an engine itself.
#[derive(Debug, Clone)]
pub struct CallerClient {
    client: Client,
}

/// What a caller asks.
#[derive(Debug, Clone)]
pub struct PromptCall {
    /// Where.
    pub address: SocketAddr,
    /// Bearer key.
    pub key: String,
    /// Model.
    pub model: String,
    /// Text of the user's message.
    pub text: String,
    /// Answer tokens.
    pub answer_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Kind of work.
    pub label: String,
    /// Further headers.
    pub headers: Vec<CallHeader>,
}

/// A header of a call.
#[derive(Debug, Clone)]
pub struct CallHeader {
    /// Name.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// HTTP status; zero when none came.
    pub status: u16,
    /// Words of the answer, or the body of an error.
    pub text: String,
    /// Whether the answer had its end mark.
    pub whole: bool,
    /// Time until the first word.
    pub first_token: Duration,
    /// Time until the end.
    pub total: Duration,
    /// Id of the request.
    pub request_id: String,
    /// What a failure says about whether the request ran.
    pub ran: String,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
}

impl Default for CallerClient {
    fn default() -> Self {
        CallerClient {
            client: Client::new(ClientConfig::new().with_nodelay(true)).with_default_pool(),
        }
    }
}

/// Text that counts as the prompt of a chat with one message of the user.
pub fn chat_prompt(text: &str) -> Vec<u8> {
    format!("user\n{text}\n").into_bytes()
}

/// The right answer to a chat with one message of the user.
pub fn right_answer(
    text: &str,
    version: &str,
    tokens: u32,
) -> String {
    ResponseText::new(&chat_prompt(text), version).words(tokens)
}

impl CallerClient {
    /// Asks a chat completion and reads the whole answer.
    pub async fn chat(
        &self,
        call: &PromptCall,
    ) -> CallOutcome {
        let body = json!({
            "model": call.model, "stream": call.stream, "max_tokens": call.answer_tokens,
            "messages": [{"role": "user", "content": call.text}],
        });
        let url = format!("http://{}/v1/chat/completions", call.address);
        let mut conn = self
            .client
            .build_conn("POST", url)
            .with_request_header("content-type", "application/json")
            .with_request_header("x-pitchhitch-label", call.label.clone())
            .with_body(body.to_string());
        conn = authorized(conn, &call.key);
        for header in &call.headers {
            conn = conn.with_request_header(header.name, header.value.clone());
        }
        if call.stream {
            read_outcome(conn, streamed_words).await
        } else {
            read_outcome(conn, whole_words).await
        }
    }

    /// Makes a plain call; the outcome's text is the body.
    pub async fn plain(
        &self,
        method: &str,
        url: &str,
        key: &str,
        headers: &[CallHeader],
        body: String,
    ) -> CallOutcome {
        let mut conn = authorized(self.client.build_conn(method, url), key);
        for header in headers {
            conn = conn.with_request_header(header.name, header.value.clone());
        }
        read_outcome(conn.with_body(body), plain_text).await
    }
}

fn authorized(
    conn: Conn,
    key: &str,
) -> Conn {
    if key.is_empty() {
        return conn;
    }
    conn.with_request_header("authorization", format!("Bearer {key}"))
}

/// What a body says.
struct ReadText {
    text: String,
    whole: bool,
}

async fn read_outcome(
    conn: Conn,
    read: fn(&[u8]) -> ReadText,
) -> CallOutcome {
    let started = Instant::now();
    let mut outcome = CallOutcome {
        status: 0,
        text: String::new(),
        whole: false,
        first_token: Duration::ZERO,
        total: Duration::ZERO,
        request_id: String::new(),
        ran: String::new(),
        retry_after: None,
    };
    let mut conn = match conn.await {
        Ok(conn) => conn,
        Err(error) => {
            outcome.text = error.to_string();
            outcome.total = started.elapsed();
            return outcome;
        }
    };
    outcome.status = conn.status().map_or(0, |s| s as u16);
    let header = |name: &'static str| conn.response_headers().get_str(name).unwrap_or_default();
    outcome.request_id = header("x-request-id").to_string();
    outcome.ran = header("x-pitchhitch-ran").to_string();
    outcome.retry_after = header("retry-after").parse().ok();
    let mut body = Vec::new();
    let mut chunk = vec![0; CHUNK];
    let ended = loop {
        match conn.response_body().read(&mut chunk).await {
            Ok(0) => break true,
            Ok(length) => {
                body.extend_from_slice(&chunk[..length]);
                if outcome.first_token.is_zero() && has_word(&body) {
                    outcome.first_token = started.elapsed();
                }
            }
            Err(_) => break false,
        }
    };
    if !ended {
        // A broken connection must not be kept.
        conn.response_headers_mut().insert("connection", "close");
    }
    outcome.total = started.elapsed();
    let read = match outcome.status {
        200 => read(&body),
        _ => plain_text(&body),
    };
    outcome.text = read.text;
    outcome.whole = ended && read.whole;
    outcome
}

/// Whether a body has come to its first word; blanks in front do not count.
fn has_word(body: &[u8]) -> bool {
    match body.first() {
        Some(b':') => body.windows(6).any(|w| w == b"data: "),
        _ => !body.is_empty(),
    }
}

fn plain_text(body: &[u8]) -> ReadText {
    ReadText {
        text: String::from_utf8_lossy(body).to_string(),
        whole: true,
    }
}

fn whole_words(body: &[u8]) -> ReadText {
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let content = value["choices"][0]["message"]["content"].as_str();
    ReadText {
        text: content.unwrap_or_default().to_string(),
        whole: content.is_some(),
    }
}

fn streamed_words(body: &[u8]) -> ReadText {
    let text = String::from_utf8_lossy(body);
    let mut words = String::new();
    let mut done = false;
    let mut garbled = false;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        // A garbled event must not pass for an empty one.
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            garbled = true;
            continue;
        };
        words.push_str(
            value["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    ReadText {
        text: words,
        whole: done && !garbled,
    }
}
