use {
    super::{parse_response_head, BodyDecoder, BodyFraming, HeaderFields, TcpConnection},
    smol::Timer,
    std::{
        io::{ErrorKind, Write},
        net::SocketAddr,
        time::Duration,
    },
    thiserror::Error,
};

/// Maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum length of a response body, in bytes; the platform returns up to 1 MB of rows,
/// encoded.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Interim responses that are skipped before the final one; a connection with more is abandoned.
pub const MAX_INTERIM_RESPONSES: u32 = 8;

/// A request with a small body.
#[derive(Debug, Clone, Default)]
pub struct HttpRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Additional headers.
    pub fields: Vec<(String, String)>,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
    /// Time added to the client's timeout, for long polls.
    pub extra_timeout: Duration,
    /// What to do with a body that ends with its connection.
    pub unframed_body: UnframedBody,
}

/// What to do with a body that ends with its connection, which does not prove that it is whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum UnframedBody {
    /// The response counts as broken.
    #[default]
    Refused,
    /// The response is returned without the body.
    Dropped,
    /// The response is returned; its content shows whether it is whole.
    Returned,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub fields: HeaderFields,
    /// Body.
    pub body: Vec<u8>,
}

/// Why a request received no response.
#[derive(Debug, Error)]
pub enum HttpFailure {
    /// The connection could not be established; the request was not sent.
    #[error("connection failed: {0}")]
    NoConnection(std::io::Error),
    /// The connection broke; the request may have been executed.
    #[error("connection broken: {0}")]
    Broken(std::io::Error),
    /// No response before the timeout; the request may have been executed.
    #[error("no response before the timeout")]
    TimedOut,
    /// The response is malformed or too large.
    #[error("malformed or oversized response")]
    InvalidResponse,
}

/// An HTTP client that sends one small request at a time over one persistent connection.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
    connection: Option<TcpConnection>,
}

impl HttpClient {
    /// Creates a client of `address`; each request ends after `timeout`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        HttpClient {
            address,
            timeout,
            connection: None,
        }
    }

    /// Sets the timeout of later requests.
    pub fn set_timeout(
        &mut self,
        timeout: Duration,
    ) {
        self.timeout = timeout;
    }

    /// The connection of the last request, if it can be used for another one.
    pub fn into_connection(self) -> Option<TcpConnection> {
        self.connection
    }

    /// Sends a request and reads the whole response. After a failure the next request opens a new
    /// connection, so that it cannot receive a late response to the failed one.
    ///
    /// # Errors
    /// [`HttpFailure`] if no complete response was received.
    pub async fn call(
        &mut self,
        request: HttpRequest<'_>,
    ) -> Result<HttpResponse, HttpFailure> {
        let timeout = self.timeout + request.extra_timeout;
        let idle = self.connection.take();
        let exchanged = exchange(self.address, self.timeout, idle, &request);
        let timed_out = async {
            Timer::after(timeout).await;
            Err(HttpFailure::TimedOut)
        };
        let (response, connection) = futures_lite::future::or(exchanged, timed_out).await?;
        self.connection = connection;
        Ok(response)
    }

    /// Sends a request and returns the body of a response with status 200; for callers that
    /// treat all failures alike.
    pub async fn ok_body(
        &mut self,
        request: HttpRequest<'_>,
    ) -> Option<Vec<u8>> {
        let response = self.call(request).await.ok()?;
        (response.status == 200).then_some(response.body)
    }
}

async fn exchange(
    address: SocketAddr,
    timeout: Duration,
    idle: Option<TcpConnection>,
    request: &HttpRequest<'_>,
) -> Result<(HttpResponse, Option<TcpConnection>), HttpFailure> {
    let mut idle = idle;
    let is_reusable =
        |connection: &mut TcpConnection| connection.idle_state() == super::IdleState::Reusable;
    let usable = idle.as_mut().is_some_and(is_reusable);
    let mut connection = match idle.filter(|_| usable) {
        Some(connection) => connection,
        None => TcpConnection::connect(address, timeout)
            .await
            .map_err(HttpFailure::NoConnection)?,
    };
    connection
        .write_all(&encode(address, request))
        .await
        .map_err(HttpFailure::Broken)?;
    let (response, must_close) = read_response(&mut connection, request.unframed_body).await?;
    Ok((response, (!must_close).then_some(connection)))
}

fn encode(
    address: SocketAddr,
    request: &HttpRequest<'_>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + request.body.len());
    // Writing to a `Vec` does not fail.
    let _ = write!(
        out,
        "{} {} HTTP/1.1\r\nhost: {address}\r\n",
        request.method, request.target
    );
    for (name, value) in &request.fields {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    if !request.body.is_empty() {
        let length = request.body.len();
        let _ = write!(
            out,
            "content-type: application/json\r\ncontent-length: {length}\r\n"
        );
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}

async fn read_response(
    connection: &mut TcpConnection,
    unframed_body: UnframedBody,
) -> Result<(HttpResponse, bool), HttpFailure> {
    let mut interim_responses = 0;
    let head = loop {
        let found = parse_response_head(connection.buffer(), MAX_HEAD_BYTES);
        match found.map_err(|_| HttpFailure::InvalidResponse)? {
            Some((head, length)) => {
                connection.consume(length);
                if head.status >= 200 {
                    break head;
                }
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(HttpFailure::InvalidResponse);
                }
            }
            None => fill(connection).await?,
        }
    };
    let framing = BodyFraming::for_response(head.status, &head.fields);
    let framing = framing.map_err(|_| HttpFailure::InvalidResponse)?;
    let is_unframed = framing == BodyFraming::UntilClose;
    let body = match unframed_body {
        UnframedBody::Dropped if is_unframed => Vec::new(),
        _ => read_body(connection, framing, unframed_body).await?,
    };
    let must_close = is_unframed
        || head.fields.has_token("connection", "close")
        || !connection.buffer().is_empty();
    let response = HttpResponse {
        status: head.status,
        fields: head.fields,
        body,
    };
    Ok((response, must_close))
}

/// Reads a body to its end.
async fn read_body(
    connection: &mut TcpConnection,
    framing: BodyFraming,
    unframed_body: UnframedBody,
) -> Result<Vec<u8>, HttpFailure> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        let used = decoder.decode(connection.buffer(), &mut body);
        connection.consume(used.map_err(|_| HttpFailure::InvalidResponse)?);
        if decoder.is_done() {
            return Ok(body);
        }
        if body.len() > MAX_BODY_BYTES {
            return Err(HttpFailure::InvalidResponse);
        }
        match fill(connection).await {
            Err(HttpFailure::Broken(error))
                if error.kind() == ErrorKind::UnexpectedEof
                    && unframed_body == UnframedBody::Returned
                    && decoder.close() =>
            {
                return Ok(body)
            }
            filled => filled?,
        }
    }
}

async fn fill(connection: &mut TcpConnection) -> Result<(), HttpFailure> {
    match connection.read_more().await {
        Ok(0) => Err(HttpFailure::Broken(ErrorKind::UnexpectedEof.into())),
        Ok(_) => Ok(()),
        Err(error) => Err(HttpFailure::Broken(error)),
    }
}
