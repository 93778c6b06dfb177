use {
    super::{wait_for_endpoint, WakeReason},
    pitchhitch_core::time::Micros,
    pitchhitch_http1::{
        parse_response_head, BodyDecoder, BodyFraming, ResponseHead, TcpConnection,
    },
    pitchhitch_platform::{decode_response_info, ResponseInfo},
    pitchhitch_process::DeadlineTimer,
};

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Answers to other requests that are passed over before the connection is
/// given up.
const MAX_STRAY_RESPONSES: u32 = 2;

/// Why an endpoint gave no answer that can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeFailure {
    /// Nothing was sent.
    NotSent,
    /// The connection ended; the endpoint may have run the request.
    Lost,
    /// The bytes are no answer to this request.
    Garbled,
    /// The time of the request is over.
    Late,
    /// The time of the endpoint's weights is over, and it has not begun.
    Overdue,
    /// The caller has gone.
    CallerGone,
}

/// A connection to an endpoint with one request on it.
#[derive(Debug)]
pub(crate) struct EndpointExchange {
    /// Connection.
    pub connection: TcpConnection,
    /// Whether all of the request went out.
    pub is_fully_sent: bool,
    /// Whether the connection can take another request.
    pub is_reusable: bool,
    /// Time for which the endpoint keeps it, where it says so.
    pub keep_alive: Option<Micros>,
}

impl EndpointExchange {
    /// An offer on a connection that has nothing else on it.
    pub fn new(connection: TcpConnection) -> Self {
        EndpointExchange {
            connection,
            is_fully_sent: false,
            is_reusable: false,
            keep_alive: None,
        }
    }
}

/// The head of an answer to the request.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    /// Head.
    pub head: ResponseHead,
    /// What it says.
    pub marks: ResponseInfo,
    /// Framing of its body.
    pub framing: BodyFraming,
}

/// Sends a request and waits for the head of its answer.
///
/// Returns also whether a byte may have reached the endpoint.
pub(crate) async fn send_request(
    exchange: &mut EndpointExchange,
    bytes: &[u8],
    request_id: &str,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
) -> (Result<EndpointResponse, ExchangeFailure>, bool) {
    let mut sent = 0;
    let mut stray_responses = 0;
    loop {
        if sent < bytes.len() {
            match exchange.connection.try_write(&bytes[sent..]) {
                Ok(count) => sent += count,
                Err(_) if sent == 0 => return (Err(ExchangeFailure::NotSent), false),
                // What it answered before it closed may still be there.
                Err(_) => sent = bytes.len(),
            }
            exchange.is_fully_sent = sent == bytes.len();
        }
        let wants_write = sent < bytes.len();
        match wait_for_endpoint(&exchange.connection, wants_write, caller, timer).await {
            WakeReason::EndpointWritable => continue,
            WakeReason::CallerGone => return (Err(ExchangeFailure::CallerGone), sent > 0),
            WakeReason::TimedOut => return (Err(ExchangeFailure::Late), sent > 0),
            WakeReason::EndpointReadable => {}
        }
        match exchange.connection.try_read() {
            Ok(None) => continue,
            Ok(Some(0)) | Err(_) => return (Err(ExchangeFailure::Lost), sent > 0),
            Ok(Some(_)) => {}
        }
        match next_response(exchange, request_id, &mut stray_responses, caller, timer).await {
            Ok(Some(response)) => return (Ok(response), true),
            Ok(None) => {}
            Err(failure) => return (Err(failure), true),
        }
    }
}

/// The answer to the request, if its head is there; others are passed over.
async fn next_response(
    exchange: &mut EndpointExchange,
    request_id: &str,
    stray_responses: &mut u32,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
) -> Result<Option<EndpointResponse>, ExchangeFailure> {
    loop {
        let parsed = parse_response_head(exchange.connection.buffer(), MAX_HEAD_BYTES);
        let Some((head, length)) = parsed.map_err(|_| ExchangeFailure::Garbled)? else {
            return Ok(None);
        };
        exchange.connection.consume(length);
        if head.status < 200 {
            continue;
        }
        let marks = decode_response_info(&head);
        let framing = BodyFraming::for_response(head.status, &head.fields);
        let framing = framing.map_err(|_| ExchangeFailure::Garbled)?;
        if marks.request_id.as_deref() == Some(request_id) {
            return Ok(Some(EndpointResponse {
                head,
                marks,
                framing,
            }));
        }
        *stray_responses += 1;
        let has_known_end = framing != BodyFraming::UntilClose;
        if !has_known_end || *stray_responses > MAX_STRAY_RESPONSES || marks.request_id.is_none() {
            return Err(ExchangeFailure::Garbled);
        }
        read_response_body(exchange, framing, &mut Vec::new(), usize::MAX, caller, timer).await?;
    }
}

/// Reads the body of an answer to its end; true where it is whole and not over
/// `limit` bytes.
pub(crate) async fn read_response_body(
    exchange: &mut EndpointExchange,
    framing: BodyFraming,
    body: &mut Vec<u8>,
    limit: usize,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
) -> Result<(), ExchangeFailure> {
    let mut decoder = BodyDecoder::new(framing);
    loop {
        let consumed = decoder.decode(exchange.connection.buffer(), body);
        exchange.connection.consume(consumed.map_err(|_| ExchangeFailure::Garbled)?);
        if decoder.is_done() {
            return Ok(());
        }
        if body.len() > limit {
            return Err(ExchangeFailure::Garbled);
        }
        match wait_for_endpoint(&exchange.connection, false, caller, timer).await {
            WakeReason::TimedOut => return Err(ExchangeFailure::Late),
            WakeReason::CallerGone => return Err(ExchangeFailure::CallerGone),
            WakeReason::EndpointReadable | WakeReason::EndpointWritable => {}
        }
        match exchange.connection.try_read() {
            Ok(Some(0)) if decoder.is_until_close() => return Ok(()),
            Ok(Some(0)) | Err(_) => return Err(ExchangeFailure::Lost),
            Ok(_) => {}
        }
    }
}
