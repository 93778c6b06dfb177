use {
    super::{read_response_body, EndpointExchange, EndpointResponse, ExchangeFailure},
    pitchhitch_http1::{BodyFraming, TcpConnection},
    pitchhitch_platform::{encode_response_head, BodyLength},
    pitchhitch_process::DeadlineTimer,
};

/// Longest response that is buffered, in bytes. Plain services usually respond with 5 kB at
/// most.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// A response that has been received completely, ready to be sent to the caller.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub status: u16,
    /// Head and body in the form sent to the caller.
    pub bytes: Vec<u8>,
}

/// Reads a response to its end, so that the caller never receives a truncated one as if it were
/// complete.
pub(crate) async fn read_plain_response(
    exchange: &mut EndpointExchange,
    response: &EndpointResponse,
    has_no_body: bool,
    closes: bool,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
) -> Result<BufferedResponse, ExchangeFailure> {
    let framing = if has_no_body {
        BodyFraming::Empty
    } else {
        response.framing
    };
    let mut body = Vec::new();
    read_response_body(
        exchange,
        framing,
        &mut body,
        MAX_BUFFERED_BYTES,
        caller,
        timer,
    )
    .await?;
    let length = match framing {
        BodyFraming::Empty => BodyLength::Absent,
        _ => BodyLength::Known(body.len()),
    };
    let mut bytes = encode_response_head(&response.head, length, closes);
    bytes.extend_from_slice(&body);
    Ok(BufferedResponse {
        status: response.head.status,
        bytes,
    })
}
