use {
    super::{
        wait_for_endpoint, write_to_caller, EventSplitter, OfferAnswer, OfferFailure, OpenOffer,
        WakeReason,
    },
    pitchhitch_http1::{write_chunk, BodyDecoder, TcpConnection, LAST_CHUNK},
    pitchhitch_platform::{encode_response_head, BodyLength},
    pitchhitch_process::DeadlineTimer,
    std::time::Duration,
};

/// The caller's side of one stream, over all endpoints that feed it.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    /// Cuts the stream into events.
    pub splitter: EventSplitter,
    /// Whether the caller has got the head.
    pub is_begun: bool,
    /// Whether the connection to the caller ends with the stream.
    pub closes: bool,
    /// Writes to the caller.
    pub writes: u32,
}

/// What a piece of a stream tells its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayNews {
    /// The first events have come.
    Begun,
    /// The weights have changed under the stream.
    Version(u64),
}

/// Passes a stream on, event by event, until it ends.
///
/// A part of an event never goes out, except at the sound end of a stream. Once the first
/// events have come the stream has the time that is `left` for the request.
pub(crate) async fn relay_stream(
    offer: &mut OpenOffer,
    answer: &OfferAnswer,
    progress: &mut StreamProgress,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
    left: &dyn Fn() -> Duration,
    tell: &mut dyn FnMut(RelayNews),
) -> Result<(), OfferFailure> {
    let mut decoder = BodyDecoder::new(answer.framing);
    let mut piece = Vec::new();
    let mut is_first = true;
    loop {
        piece.clear();
        let used = decoder.decode(offer.link.buffer(), &mut piece);
        offer.link.consume(used.map_err(|_| OfferFailure::Garbled)?);
        let before = progress.splitter.version();
        let mut events = progress.splitter.take(&piece);
        if let Some(version) = progress.splitter.version().filter(|v| Some(*v) != before) {
            tell(RelayNews::Version(version));
        }
        if is_first && !events.is_empty() {
            is_first = false;
            timer.set_after(left());
            tell(RelayNews::Begun);
        }
        let is_done = decoder.is_done();
        if is_done {
            events.extend_from_slice(progress.splitter.rest());
        }
        if !events.is_empty() || is_done {
            pass_on(&events, is_done, answer, progress, caller, timer).await?;
        }
        if is_done {
            return Ok(());
        }
        match wait_for_endpoint(&offer.link, false, caller, timer).await {
            WakeReason::Late => return Err(OfferFailure::Late),
            WakeReason::CallerGone => return Err(OfferFailure::CallerGone),
            WakeReason::Endpoint | WakeReason::Writable => {}
        }
        match offer.link.try_read() {
            Ok(Some(0)) if decoder.is_until_close() => {
                let rest = progress.splitter.rest().to_vec();
                return pass_on(&rest, true, answer, progress, caller, timer).await;
            }
            Ok(Some(0)) | Err(_) => return Err(OfferFailure::Lost),
            Ok(_) => {}
        }
    }
}

async fn pass_on(
    events: &[u8],
    is_end: bool,
    answer: &OfferAnswer,
    progress: &mut StreamProgress,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
) -> Result<(), OfferFailure> {
    let mut out = Vec::with_capacity(events.len() + 32);
    if !progress.is_begun {
        progress.is_begun = true;
        out = encode_response_head(&answer.head, BodyLength::Chunked, progress.closes);
    }
    write_chunk(&mut out, events);
    if is_end {
        out.extend_from_slice(LAST_CHUNK);
    }
    progress.writes += 1;
    match write_to_caller(caller, &out, timer).await {
        true => Ok(()),
        false => Err(OfferFailure::CallerGone),
    }
}
