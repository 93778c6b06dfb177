use {
    crate::front::{
        read_body_piece, write_to_caller, AttemptTimer, EndpointExchange, EndpointResponse,
        ExchangeFailure, HeldBytes,
    },
    pitchhitch_http1::{write_chunk, BodyDecoder, BodyFraming, TcpConnection, LAST_CHUNK},
    pitchhitch_platform::{encode_response_head, BodyLength},
};

/// Longest body that is buffered, in bytes. Plain services usually respond with 5 kB at most. A
/// longer body is relayed as fast as the caller reads it.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// A response that has been received completely, ready to be sent to the caller.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub status: u16,
    /// Head and body in the form sent to the caller.
    pub bytes: Vec<u8>,
}

/// The begin of a response that is too long to be buffered.
#[derive(Debug)]
pub(crate) struct PartialResponse {
    /// Head and body so far, in the form sent to the caller.
    bytes: Vec<u8>,
    decoder: BodyDecoder,
    is_chunked: bool,
}

/// A response as far as it is read before anything is sent to the caller.
#[derive(Debug)]
pub(crate) enum PlainResponse {
    Complete(BufferedResponse),
    Partial(PartialResponse),
}

/// Reads a response to its end, so that the caller never receives a truncated one as if it were
/// complete, or as far as it may be buffered.
pub(crate) async fn read_plain_response(
    exchange: &mut EndpointExchange,
    response: &EndpointResponse,
    has_no_body: bool,
    closes: bool,
    held: &mut HeldBytes<'_>,
    caller: &mut TcpConnection,
    timer: &mut AttemptTimer,
) -> Result<PlainResponse, ExchangeFailure> {
    let framing = if has_no_body {
        BodyFraming::Empty
    } else {
        response.framing
    };
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    let mut is_ended = false;
    while !is_ended {
        let previous = body.len();
        is_ended = read_body_piece(exchange, &mut decoder, &mut body, caller, timer).await?;
        // Head and body are copied once into the form sent to the caller.
        let has_room = held.try_grow(2 * (body.len() - previous));
        if !is_ended && (body.len() > MAX_BUFFERED_BYTES || !has_room) {
            return Ok(PlainResponse::Partial(begin_relay(
                response, framing, decoder, &body, closes,
            )));
        }
    }
    let length = match framing {
        BodyFraming::Empty => BodyLength::Absent,
        _ => BodyLength::Known(body.len()),
    };
    let mut bytes = encode_response_head(&response.head, length, closes);
    bytes.extend_from_slice(&body);
    Ok(PlainResponse::Complete(BufferedResponse {
        status: response.head.status,
        bytes,
    }))
}

fn begin_relay(
    response: &EndpointResponse,
    framing: BodyFraming,
    decoder: BodyDecoder,
    body: &[u8],
    closes: bool,
) -> PartialResponse {
    // A response with a known length is visibly incomplete if it is cut, as is a chunked one.
    let (length, is_chunked) = match framing {
        BodyFraming::Length(length) => (BodyLength::Known(length as usize), false),
        _ => (BodyLength::Chunked, true),
    };
    let mut bytes = encode_response_head(&response.head, length, closes);
    append_piece(&mut bytes, body, is_chunked);
    PartialResponse {
        bytes,
        decoder,
        is_chunked,
    }
}

/// Sends a response to the caller as far as it was read, and relays the rest. Only one piece is in
/// memory: a caller that reads slowly slows down its endpoint. Returns the end of the framing, which
/// remains to be sent.
pub(crate) async fn relay_plain_response(
    exchange: &mut EndpointExchange,
    partial: PartialResponse,
    caller: &mut TcpConnection,
    timer: &mut AttemptTimer,
) -> Result<&'static [u8], ExchangeFailure> {
    let PartialResponse {
        bytes: mut out,
        mut decoder,
        is_chunked,
    } = partial;
    let mut is_ended = false;
    loop {
        if !write_to_caller(caller, &out, timer).await {
            return Err(ExchangeFailure::CallerGone);
        }
        if is_ended {
            return Ok(if is_chunked { LAST_CHUNK } else { b"" });
        }
        let mut piece = Vec::new();
        is_ended = read_body_piece(exchange, &mut decoder, &mut piece, caller, timer).await?;
        out = Vec::with_capacity(piece.len() + 32);
        append_piece(&mut out, &piece, is_chunked);
    }
}

fn append_piece(
    out: &mut Vec<u8>,
    piece: &[u8],
    is_chunked: bool,
) {
    match is_chunked {
        true => write_chunk(out, piece),
        false => out.extend_from_slice(piece),
    }
}
