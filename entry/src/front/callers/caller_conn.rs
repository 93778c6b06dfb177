use {
    crate::front::{
        handle_request, ConnectionReuse, FrontContext, HeldBytes, RequestEntry, RequestStage,
        DEFAULT_CALLER_TIMEOUT,
    },
    futures_lite::future::{or, poll_fn},
    pitchhitch_core::{
        serving::{CallerLimits, HeldKind, RefusalKind},
        time::Micros,
    },
    pitchhitch_http1::{
        parse_request_head, BodyDecoder, BodyFraming, HeadError, IdlePeriod, IdleState,
        RequestHead, TcpConnection,
    },
    pitchhitch_platform::{decode_request_info, encode_refusal, expects_continue},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::{
        net::{IpAddr, Shutdown},
        rc::Rc,
    },
};

/// Timeout between two reads of a body.
const BODY_READ_TIMEOUT: Micros = Micros::from_secs(5);
/// Interval at which an idle connection checks whether the process is stopping.
const STOP_CHECK_INTERVAL: Micros = Micros::from_millis(500);
/// Times that a body is in memory: it is copied when it is sent to an endpoint.
const BODY_COPIES: usize = 2;
/// Longest time for which data is discarded on a connection that is closed.
const DISCARD_TIME: Micros = Micros::from_secs(1);
/// Timeout of writing a refusal before the connection is closed.
const REFUSAL_WRITE_TIMEOUT: Micros = Micros::from_secs(1);

/// A request that has been received completely.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    pub head: RequestHead,
    /// Body, with its transfer framing removed.
    pub body: Vec<u8>,
    /// When its first byte was received.
    pub arrived_at: Micros,
}

enum ReadOutcome<'a> {
    /// A request, and the memory that it holds.
    Request(ReceivedRequest, HeldBytes<'a>),
    Rejected(RefusalKind),
    Closed,
}

/// Serves the requests of one connection sequentially.
pub(crate) async fn serve_caller(
    front: Rc<FrontContext>,
    mut connection: TcpConnection,
) {
    let address = connection.peer_address();
    let mut is_used = false;
    loop {
        let limits = limits(&front);
        if !await_request(&front, &mut connection, address, is_used, &limits).await {
            return;
        }
        let entry = front.requests.add(front.now());
        let watch = entry.watch();
        let stopped = async {
            poll_fn(|context| watch.poll_ended(context)).await;
            ReadOutcome::Rejected(RefusalKind::Stopping)
        };
        let read = read_request(&front, &mut connection, &entry, &limits);
        match or(read, stopped).await {
            ReadOutcome::Request(request, held) => {
                is_used = true;
                entry.set_stage(RequestStage::Waiting);
                // On the heap, so that idle connections do not hold its state.
                let handled = Box::pin(handle_request(&front, &mut connection, request, &entry));
                let handled = async { Some(handled.await) };
                let overdue = async {
                    poll_fn(|context| watch.poll_overdue(context)).await;
                    None
                };
                let reuse = or(handled, overdue).await;
                drop(held);
                match reuse {
                    Some(ConnectionReuse::KeepAlive) => connection.shrink_buffer(),
                    Some(ConnectionReuse::Close) => {
                        entry.set_stage(RequestStage::Closing);
                        return close(connection).await;
                    }
                    None => return end_overdue(&front, &mut connection, &entry).await,
                }
            }
            ReadOutcome::Rejected(kind) => {
                refuse(&front, &mut connection, &entry, kind).await;
                entry.set_stage(RequestStage::Closing);
                return discard_rest(connection).await;
            }
            ReadOutcome::Closed => return,
        }
    }
}

fn limits(front: &FrontContext) -> CallerLimits {
    let state = front.state();
    state
        .config
        .as_ref()
        .map_or_else(CallerLimits::default, |config| config.limits)
}

/// Waits for the first bytes of a request; false if the connection is to be closed.
async fn await_request(
    front: &FrontContext,
    connection: &mut TcpConnection,
    address: IpAddr,
    is_used: bool,
    limits: &CallerLimits,
) -> bool {
    if !connection.buffer().is_empty() {
        return true;
    }
    let period = match is_used {
        true => front.idle_callers.enter_again(address),
        false => front.idle_callers.enter(address),
    };
    wait_for_first_byte(front, connection, period, limits.idle_timeout).await
}

async fn read_request<'a>(
    front: &'a FrontContext,
    connection: &mut TcpConnection,
    entry: &RequestEntry,
    limits: &CallerLimits,
) -> ReadOutcome<'a> {
    let arrived_at = front.now();
    let head = match with_timeout(
        limits.header_timeout,
        read_head(connection, limits.max_header_bytes),
    )
    .await
    {
        Some(Ok(Some(head))) => head,
        Some(Ok(None)) => return ReadOutcome::Closed,
        Some(Err(kind)) => return ReadOutcome::Rejected(kind),
        None => return ReadOutcome::Rejected(RefusalKind::SlowRequest),
    };
    entry.set_id(&decode_request_info(&head).request_id);
    if !has_capacity(front, &head) {
        return ReadOutcome::Rejected(RefusalKind::Overloaded);
    }
    let mut held = HeldBytes::new(front, HeldKind::Request);
    match read_body(connection, &head, limits, &mut held, arrived_at).await {
        Ok(Some(body)) => {
            let request = ReceivedRequest {
                head,
                body,
                arrived_at,
            };
            ReadOutcome::Request(request, held)
        }
        Ok(None) => ReadOutcome::Closed,
        Err(kind) => ReadOutcome::Rejected(kind),
    }
}

/// Whether the body announced by the head fits into memory in addition to what is held there. One
/// that is announced without a length is checked as it arrives.
fn has_capacity(
    front: &FrontContext,
    head: &RequestHead,
) -> bool {
    let content_length = head
        .fields
        .get_str("content-length")
        .and_then(|text| text.parse().ok());
    let body_bytes: u64 = content_length.unwrap_or(0);
    let held_bytes = body_bytes.saturating_mul(BODY_COPIES as u64);
    let state = front.state();
    body_bytes == 0 || state.memory_budget.can_hold(HeldKind::Request, held_bytes)
}

/// Returns false if the connection closes, is idle for too long or the process is stopping.
async fn wait_for_first_byte(
    front: &FrontContext,
    connection: &mut TcpConnection,
    period: IdlePeriod,
    idle_timeout: Micros,
) -> bool {
    let idle_since = front.now();
    loop {
        let evicted = async {
            period.evicted().await;
            None
        };
        let read = async { Some(connection.read_first().await) };
        match with_timeout(STOP_CHECK_INTERVAL, or(read, evicted)).await {
            Some(Some(Ok(count))) => return count > 0,
            Some(Some(Err(_))) => return false,
            Some(None) | None => {}
        }
        let idle_for = front.now().since(idle_since);
        let must_close =
            idle_for > idle_timeout || front.state().closes_idle || period.is_evicted();
        // Checks the socket last: a request that has already arrived is still served.
        if must_close && connection.idle_state() != IdleState::UnexpectedData {
            return false;
        }
        if !connection.buffer().is_empty() {
            return true;
        }
    }
}

async fn read_head(
    connection: &mut TcpConnection,
    limit: usize,
) -> Result<Option<RequestHead>, RefusalKind> {
    loop {
        match parse_request_head(connection.buffer(), limit) {
            Ok(Some((head, length))) => {
                connection.consume(length);
                return Ok(Some(head));
            }
            Ok(None) => {}
            Err(HeadError::TooLong) => return Err(RefusalKind::HeadTooLong),
            Err(_) => return Err(RefusalKind::BadRequest),
        }
        if !matches!(connection.read_more().await, Ok(count) if count > 0) {
            return Ok(None);
        }
    }
}

/// Reads a body before the caller's deadline, while the memory budget has room for it.
async fn read_body(
    connection: &mut TcpConnection,
    head: &RequestHead,
    limits: &CallerLimits,
    held: &mut HeldBytes<'_>,
    arrived_at: Micros,
) -> Result<Option<Vec<u8>>, RefusalKind> {
    let framing = BodyFraming::for_request(&head.fields).map_err(|_| RefusalKind::BadRequest)?;
    if matches!(framing, BodyFraming::Length(length) if length > limits.max_body_bytes as u64) {
        return Err(RefusalKind::BodyTooLong);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    if !decoder.is_done() && connection.buffer().is_empty() && expects_continue(head) {
        let written = connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        if written.is_err() {
            return Ok(None);
        }
    }
    let mut deadline = None;
    loop {
        let previous = body.len();
        let consumed = decoder.decode(connection.buffer(), &mut body);
        connection.consume(consumed.map_err(|_| RefusalKind::BadRequest)?);
        if body.len() > limits.max_body_bytes {
            return Err(RefusalKind::BodyTooLong);
        }
        if !held.try_grow(BODY_COPIES * (body.len() - previous)) {
            return Err(RefusalKind::Overloaded);
        }
        if decoder.is_done() {
            return Ok(Some(body));
        }
        let deadline = *deadline.get_or_insert_with(|| arrived_at + caller_timeout(head));
        let timeout = deadline.since(held.now()).min(BODY_READ_TIMEOUT);
        match with_timeout(timeout, connection.read_more()).await {
            Some(Ok(count)) if count > 0 => {}
            Some(_) => return Ok(None),
            None => return Err(RefusalKind::SlowRequest),
        }
    }
}

/// How long the caller waits for the answer.
fn caller_timeout(head: &RequestHead) -> Micros {
    let time_left = decode_request_info(head).time_left;
    time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT)
}

/// Closes a connection; what the caller has sent already is not served.
async fn close(mut connection: TcpConnection) {
    if connection.idle_state() == IdleState::UnexpectedData {
        discard_rest(connection).await;
    }
}

/// Ends the responses of a connection and reads what still arrives for a while: a close with unread
/// data would reset the connection and destroy what the caller has not received.
async fn discard_rest(mut connection: TcpConnection) {
    if connection.socket().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let ended = async {
        loop {
            let unread = connection.buffer().len();
            connection.consume(unread);
            if !matches!(connection.read_more().await, Ok(count) if count > 0) {
                return;
            }
        }
    };
    with_timeout(DISCARD_TIME, ended).await;
}

/// Answers a request whose handler waits for something that does not watch the stop of the process.
async fn end_overdue(
    front: &FrontContext,
    connection: &mut TcpConnection,
    entry: &RequestEntry,
) {
    let was_sent = entry.status().is_some_and(|request| request.was_sent);
    let kind = match was_sent {
        true => RefusalKind::Stopped,
        false => RefusalKind::Stopping,
    };
    refuse(front, connection, entry, kind).await;
}

/// Refuses a request that no handler answers.
async fn refuse(
    front: &FrontContext,
    connection: &mut TcpConnection,
    entry: &RequestEntry,
    kind: RefusalKind,
) {
    let response = kind.response();
    let request_id = entry
        .status()
        .map_or_else(String::new, |request| request.request_id);
    log::info!(
        event = "refused",
        request = request_id.as_str(),
        kind = response.code,
        status = response.status;
        ""
    );
    front.metrics.increment("refused", response.code);
    let bytes = encode_refusal(kind, &response, &request_id, true);
    // The refusal is lost if the caller does not read it in time.
    let _ = with_timeout(REFUSAL_WRITE_TIMEOUT, connection.write_all(&bytes)).await;
}

/// Runs a future; `None` if it takes longer than `limit`.
pub(crate) async fn with_timeout<T>(
    limit: Micros,
    future: impl std::future::Future<Output = T>,
) -> Option<T> {
    let timed_out = async {
        Timer::after(to_duration(limit)).await;
        None
    };
    or(async { Some(future.await) }, timed_out).await
}
