use {
    super::{run_request, FrontContext, RequestEnd},
    futures_lite::future::or,
    pitchhitch_core::{
        serving::{CallerLimits, RefusalKind},
        time::Micros,
    },
    pitchhitch_http1::{
        read_request_head, BodyDecoder, BodyFraming, ByteLink, HeadError, IdleState, RequestHead,
    },
    pitchhitch_platform::{encode_refusal, waits_to_send},
    pitchhitch_process::to_duration,
    smol::Timer,
    std::rc::Rc,
};

/// Longest time between two pieces of a body.
const BODY_PAUSE: Micros = Micros::from_secs(5);
/// How often a resting connection looks whether the process stops.
const STOP_CHECK: Micros = Micros::from_millis(500);
/// Bytes of bodies that are held for each megabyte of the process: a fifth, as
/// each is also copied once on its way to an endpoint.
const BODY_BYTES_PER_MB: u64 = 200_000;
/// Bodies below this are taken in any case, in bytes.
const SMALL_BODY: u64 = 64 << 10;
/// Time for a refusal to go out before the connection closes.
const LAST_WORD: Micros = Micros::from_secs(1);

/// A request that has come whole.
#[derive(Debug)]
pub(crate) struct WholeRequest {
    /// Head.
    pub head: RequestHead,
    /// Body, out of its framing.
    pub body: Vec<u8>,
    /// When its first byte was seen.
    pub came_at: Micros,
}

enum Arrival {
    Whole(WholeRequest),
    Refused(RefusalKind),
    End,
}

/// Serves the requests of one connection, one after another.
pub(crate) async fn serve_caller(
    front: Rc<FrontContext>,
    mut link: ByteLink,
) {
    loop {
        let limits = limits(&front);
        match next_request(&front, &mut link, &limits).await {
            Arrival::Whole(request) => {
                let held = request.body.len() as u64;
                front.state().begin_request(held);
                let end = run_request(&front, &mut link, request).await;
                front.state().end_request(held);
                if end == RequestEnd::Close {
                    return;
                }
                link.shrink();
            }
            Arrival::Refused(kind) => return refuse(&front, &mut link, kind).await,
            Arrival::End => return,
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

async fn next_request(
    front: &FrontContext,
    link: &mut ByteLink,
    limits: &CallerLimits,
) -> Arrival {
    if link.unused().is_empty() && !wait_for_first_byte(front, link, limits.idle_timeout).await {
        return Arrival::End;
    }
    let came_at = front.now();
    let head = match within(
        limits.header_timeout,
        read_head(link, limits.max_header_bytes),
    )
    .await
    {
        Some(Ok(Some(head))) => head,
        Some(Ok(None)) => return Arrival::End,
        Some(Err(kind)) => return Arrival::Refused(kind),
        None => return Arrival::Refused(RefusalKind::SlowRequest),
    };
    if !has_room(front, &head) {
        return Arrival::Refused(RefusalKind::Overloaded);
    }
    match read_body(link, &head, limits).await {
        Ok(Some(body)) => Arrival::Whole(WholeRequest {
            head,
            body,
            came_at,
        }),
        Ok(None) => Arrival::End,
        Err(kind) => Arrival::Refused(kind),
    }
}

/// Whether the process has memory for the body that the head tells of, beside
/// those it holds: over its limit it would be ended.
fn has_room(
    front: &FrontContext,
    head: &RequestHead,
) -> bool {
    let told = head
        .fields
        .text("content-length")
        .and_then(|text| text.parse().ok());
    let wanted: u64 = told.unwrap_or(0);
    let room = front.settings.memory_mb * BODY_BYTES_PER_MB;
    wanted < SMALL_BODY || front.state().body_bytes + wanted <= room
}

/// False where the connection ends, rests for too long or the process stops.
async fn wait_for_first_byte(
    front: &FrontContext,
    link: &mut ByteLink,
    idle_time: Micros,
) -> bool {
    let rests_since = front.now();
    loop {
        let read = within(STOP_CHECK, link.read_more()).await;
        match read {
            Some(Ok(count)) => return count > 0,
            Some(Err(_)) => return false,
            None => {}
        }
        let rested = front.now().since(rests_since);
        let is_over = rested > idle_time || front.state().closes_idle;
        // The last look is at the socket: a request that is there is served.
        if is_over && link.idle_state() != IdleState::Unasked {
            return false;
        }
        if !link.unused().is_empty() {
            return true;
        }
    }
}

async fn read_head(
    link: &mut ByteLink,
    limit: usize,
) -> Result<Option<RequestHead>, RefusalKind> {
    loop {
        match read_request_head(link.unused(), limit) {
            Ok(Some((head, length))) => {
                link.use_up(length);
                return Ok(Some(head));
            }
            Ok(None) => {}
            Err(HeadError::TooLong) => return Err(RefusalKind::HeadTooLong),
            Err(_) => return Err(RefusalKind::BadRequest),
        }
        if !matches!(link.read_more().await, Ok(count) if count > 0) {
            return Ok(None);
        }
    }
}

async fn read_body(
    link: &mut ByteLink,
    head: &RequestHead,
    limits: &CallerLimits,
) -> Result<Option<Vec<u8>>, RefusalKind> {
    let framing = BodyFraming::of_request(&head.fields).map_err(|_| RefusalKind::BadRequest)?;
    if matches!(framing, BodyFraming::Length(length) if length > limits.max_body_bytes as u64) {
        return Err(RefusalKind::BodyTooLong);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    if !decoder.is_done() && link.unused().is_empty() && waits_to_send(head) {
        let word = link.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        if word.is_err() {
            return Ok(None);
        }
    }
    loop {
        let used = decoder.decode(link.unused(), &mut body);
        link.use_up(used.map_err(|_| RefusalKind::BadRequest)?);
        if body.len() > limits.max_body_bytes {
            return Err(RefusalKind::BodyTooLong);
        }
        if decoder.is_done() {
            return Ok(Some(body));
        }
        match within(BODY_PAUSE, link.read_more()).await {
            Some(Ok(count)) if count > 0 => {}
            Some(_) => return Ok(None),
            None => return Err(RefusalKind::SlowRequest),
        }
    }
}

async fn refuse(
    front: &FrontContext,
    link: &mut ByteLink,
    kind: RefusalKind,
) {
    let row = kind.response();
    log::info!(event = "refused", kind = row.code, status = row.status; "");
    front.metrics.count("refused", row.code);
    let answer = encode_refusal(kind, &row, "", true);
    // A caller that does not read its refusal gets none.
    let _ = within(LAST_WORD, link.write_all(&answer)).await;
}

/// Waits at most so long.
pub(crate) async fn within<T>(
    limit: Micros,
    work: impl std::future::Future<Output = T>,
) -> Option<T> {
    let late = async {
        Timer::after(to_duration(limit)).await;
        None
    };
    or(async { Some(work.await) }, late).await
}
