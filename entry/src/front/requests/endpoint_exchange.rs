use {
    crate::front::{wait_for_endpoint, AttemptTimer, WakeReason},
    pitchhitch_core::time::Micros,
    pitchhitch_http1::{
        parse_response_head, BodyDecoder, BodyFraming, ResponseHead, TcpConnection,
        MAX_INTERIM_RESPONSES,
    },
    pitchhitch_platform::{decode_response_info, ResponseInfo},
};

/// Longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Responses to other requests that are skipped before the connection is abandoned.
const MAX_STRAY_RESPONSES: u32 = 2;
/// Longest body that is read only to be discarded, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Responses that have been skipped while the one to the request is awaited.
#[derive(Debug, Default)]
struct SkippedResponses {
    stray: u32,
    interim: u32,
}

/// Why an exchange yielded no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeFailure {
    /// Nothing was sent.
    NotSent,
    /// The connection was closed; the endpoint may have run the request.
    Lost,
    /// The bytes received are not a response to this request.
    Garbled,
    /// The endpoint no longer responds; it may have run the request, or run it later.
    Unresponsive,
    /// The deadline of the request has passed.
    Late,
    /// The endpoint's weights expired before it sent the first event.
    Overdue,
    /// The endpoint has not begun, and the caller is about to leave.
    NotBegun,
    /// The caller closed its connection.
    CallerGone,
}

/// One request on a connection to an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointExchange {
    pub connection: TcpConnection,
    /// Whether the request was sent completely.
    pub is_fully_sent: bool,
    /// Whether the connection can be used for another request.
    pub is_reusable: bool,
    /// Keep-alive time that the endpoint stated, if any.
    pub keep_alive_timeout: Option<Micros>,
}

impl EndpointExchange {
    /// An exchange on an idle connection.
    pub fn new(connection: TcpConnection) -> Self {
        EndpointExchange {
            connection,
            is_fully_sent: false,
            is_reusable: false,
            keep_alive_timeout: None,
        }
    }
}

/// The response to the request, without its body.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub head: ResponseHead,
    /// Headers that the front interprets.
    pub info: ResponseInfo,
    /// Framing of the body.
    pub framing: BodyFraming,
}

/// Sends a request and waits for the head of its response.
///
/// Also returns whether any byte may have reached the endpoint.
pub(crate) async fn send_request(
    exchange: &mut EndpointExchange,
    bytes: &[u8],
    request_id: &str,
    caller: &mut TcpConnection,
    timer: &mut AttemptTimer,
) -> (Result<EndpointResponse, ExchangeFailure>, bool) {
    let mut sent = 0;
    let mut skipped = SkippedResponses::default();
    loop {
        if sent < bytes.len() {
            match exchange.connection.try_write(&bytes[sent..]) {
                Ok(count) => sent += count,
                Err(_) if sent == 0 => return (Err(ExchangeFailure::NotSent), false),
                // A response sent before the endpoint closed the connection may still be readable.
                Err(_) => sent = bytes.len(),
            }
            exchange.is_fully_sent = sent == bytes.len();
        }
        let wants_write = sent < bytes.len();
        match wait_for_endpoint(&exchange.connection, wants_write, caller, timer).await {
            WakeReason::EndpointWritable => continue,
            WakeReason::CallerGone => return (Err(ExchangeFailure::CallerGone), sent > 0),
            WakeReason::TimedOut => return (Err(ExchangeFailure::Late), sent > 0),
            WakeReason::EndpointUnresponsive => {
                return (Err(ExchangeFailure::Unresponsive), sent > 0)
            }
            WakeReason::EndpointReadable => {}
        }
        match exchange.connection.try_read() {
            Ok(None) => continue,
            Ok(Some(0)) | Err(_) => return (Err(ExchangeFailure::Lost), sent > 0),
            Ok(Some(_)) => {}
        }
        match next_response(exchange, request_id, &mut skipped, caller, timer).await {
            Ok(Some(response)) => return (Ok(response), true),
            Ok(None) => {}
            Err(failure) => return (Err(failure), true),
        }
    }
}

/// The response to the request, once its head has arrived; responses to other requests are skipped.
async fn next_response(
    exchange: &mut EndpointExchange,
    request_id: &str,
    skipped: &mut SkippedResponses,
    caller: &mut TcpConnection,
    timer: &mut AttemptTimer,
) -> Result<Option<EndpointResponse>, ExchangeFailure> {
    loop {
        let parsed = parse_response_head(exchange.connection.buffer(), MAX_HEAD_BYTES);
        let Some((head, length)) = parsed.map_err(|_| ExchangeFailure::Garbled)? else {
            return Ok(None);
        };
        exchange.connection.consume(length);
        if head.status < 200 {
            skipped.interim += 1;
            if skipped.interim > MAX_INTERIM_RESPONSES {
                return Err(ExchangeFailure::Garbled);
            }
            continue;
        }
        let info = decode_response_info(&head);
        let framing = BodyFraming::for_response(head.status, &head.fields);
        let framing = framing.map_err(|_| ExchangeFailure::Garbled)?;
        if info.request_id.as_deref() == Some(request_id) {
            return Ok(Some(EndpointResponse {
                head,
                info,
                framing,
            }));
        }
        skipped.stray += 1;
        let has_known_end = framing != BodyFraming::UntilClose;
        if !has_known_end || skipped.stray > MAX_STRAY_RESPONSES || info.request_id.is_none() {
            return Err(ExchangeFailure::Garbled);
        }
        skip_response_body(exchange, framing, caller, timer).await?;
    }
}

/// Reads the body of a response to its end and discards it.
///
/// # Errors
/// If the body is incomplete, malformed or too long, or the deadline passes or the caller disconnects
/// meanwhile.
pub(crate) async fn skip_response_body(
    exchange: &mut EndpointExchange,
    framing: BodyFraming,
    caller: &mut TcpConnection,
    timer: &mut AttemptTimer,
) -> Result<(), ExchangeFailure> {
    let mut decoder = BodyDecoder::new(framing);
    let mut discarded = Vec::new();
    while !read_body_piece(exchange, &mut decoder, &mut discarded, caller, timer).await? {
        if discarded.len() > MAX_DISCARDED_BYTES {
            return Err(ExchangeFailure::Garbled);
        }
    }
    Ok(())
}

/// Appends more of a body to `body`; returns whether it has ended.
///
/// # Errors
/// If the body is incomplete or malformed, or the deadline passes or the caller disconnects
/// meanwhile.
pub(crate) async fn read_body_piece(
    exchange: &mut EndpointExchange,
    decoder: &mut BodyDecoder,
    body: &mut Vec<u8>,
    caller: &mut TcpConnection,
    timer: &mut AttemptTimer,
) -> Result<bool, ExchangeFailure> {
    let previous = body.len();
    loop {
        let consumed = decoder.decode(exchange.connection.buffer(), body);
        exchange
            .connection
            .consume(consumed.map_err(|_| ExchangeFailure::Garbled)?);
        if decoder.is_done() {
            return Ok(true);
        }
        if body.len() > previous {
            return Ok(false);
        }
        match wait_for_endpoint(&exchange.connection, false, caller, timer).await {
            WakeReason::TimedOut => return Err(ExchangeFailure::Late),
            WakeReason::EndpointUnresponsive => return Err(ExchangeFailure::Unresponsive),
            WakeReason::CallerGone => return Err(ExchangeFailure::CallerGone),
            WakeReason::EndpointReadable | WakeReason::EndpointWritable => {}
        }
        match exchange.connection.try_read() {
            Ok(Some(0)) if decoder.close() => return Ok(true),
            Ok(Some(0)) | Err(_) => return Err(ExchangeFailure::Lost),
            Ok(_) => {}
        }
    }
}
