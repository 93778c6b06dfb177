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
const HEAD_LIMIT: usize = 32 << 10;
/// Answers to other requests that are passed over before the connection is
/// given up.
const SURPLUS_LIMIT: u32 = 2;

/// Why an endpoint gave no answer that can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OfferFailure {
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
pub(crate) struct OpenOffer {
    /// Connection.
    pub link: TcpConnection,
    /// Whether all of the request went out.
    pub is_sent_whole: bool,
    /// Whether the connection can take another request.
    pub is_kept: bool,
    /// Time for which the endpoint keeps it, where it says so.
    pub keeps_for: Option<Micros>,
}

impl OpenOffer {
    /// An offer on a connection that has nothing else on it.
    pub fn new(link: TcpConnection) -> Self {
        OpenOffer {
            link,
            is_sent_whole: false,
            is_kept: false,
            keeps_for: None,
        }
    }
}

/// The head of an answer to the request.
#[derive(Debug)]
pub(crate) struct OfferAnswer {
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
pub(crate) async fn send_offer(
    offer: &mut OpenOffer,
    bytes: &[u8],
    request_id: &str,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
) -> (Result<OfferAnswer, OfferFailure>, bool) {
    let mut sent = 0;
    let mut surplus = 0;
    loop {
        if sent < bytes.len() {
            match offer.link.try_write(&bytes[sent..]) {
                Ok(count) => sent += count,
                Err(_) if sent == 0 => return (Err(OfferFailure::NotSent), false),
                // What it answered before it closed may still be there.
                Err(_) => sent = bytes.len(),
            }
            offer.is_sent_whole = sent == bytes.len();
        }
        let wants_write = sent < bytes.len();
        match wait_for_endpoint(&offer.link, wants_write, caller, timer).await {
            WakeReason::Writable => continue,
            WakeReason::CallerGone => return (Err(OfferFailure::CallerGone), sent > 0),
            WakeReason::Late => return (Err(OfferFailure::Late), sent > 0),
            WakeReason::Endpoint => {}
        }
        match offer.link.try_read() {
            Ok(None) => continue,
            Ok(Some(0)) | Err(_) => return (Err(OfferFailure::Lost), sent > 0),
            Ok(Some(_)) => {}
        }
        match next_answer(offer, request_id, &mut surplus, caller, timer).await {
            Ok(Some(answer)) => return (Ok(answer), true),
            Ok(None) => {}
            Err(failure) => return (Err(failure), true),
        }
    }
}

/// The answer to the request, if its head is there; others are passed over.
async fn next_answer(
    offer: &mut OpenOffer,
    request_id: &str,
    surplus: &mut u32,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
) -> Result<Option<OfferAnswer>, OfferFailure> {
    loop {
        let found = parse_response_head(offer.link.buffer(), HEAD_LIMIT);
        let Some((head, length)) = found.map_err(|_| OfferFailure::Garbled)? else {
            return Ok(None);
        };
        offer.link.consume(length);
        if head.status < 200 {
            continue;
        }
        let marks = decode_response_info(&head);
        let framing = BodyFraming::for_response(head.status, &head.fields);
        let framing = framing.map_err(|_| OfferFailure::Garbled)?;
        if marks.request_id.as_deref() == Some(request_id) {
            return Ok(Some(OfferAnswer {
                head,
                marks,
                framing,
            }));
        }
        *surplus += 1;
        let is_bounded = framing != BodyFraming::UntilClose;
        if !is_bounded || *surplus > SURPLUS_LIMIT || marks.request_id.is_none() {
            return Err(OfferFailure::Garbled);
        }
        read_rest(offer, framing, &mut Vec::new(), usize::MAX, caller, timer).await?;
    }
}

/// Reads the body of an answer to its end; true where it is whole and not over
/// `limit` bytes.
pub(crate) async fn read_rest(
    offer: &mut OpenOffer,
    framing: BodyFraming,
    body: &mut Vec<u8>,
    limit: usize,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
) -> Result<(), OfferFailure> {
    let mut decoder = BodyDecoder::new(framing);
    loop {
        let used = decoder.decode(offer.link.buffer(), body);
        offer.link.consume(used.map_err(|_| OfferFailure::Garbled)?);
        if decoder.is_done() {
            return Ok(());
        }
        if body.len() > limit {
            return Err(OfferFailure::Garbled);
        }
        match wait_for_endpoint(&offer.link, false, caller, timer).await {
            WakeReason::Late => return Err(OfferFailure::Late),
            WakeReason::CallerGone => return Err(OfferFailure::CallerGone),
            WakeReason::Endpoint | WakeReason::Writable => {}
        }
        match offer.link.try_read() {
            Ok(Some(0)) if decoder.is_until_close() => return Ok(()),
            Ok(Some(0)) | Err(_) => return Err(OfferFailure::Lost),
            Ok(_) => {}
        }
    }
}
