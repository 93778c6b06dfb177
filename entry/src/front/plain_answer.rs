use {
    super::{read_rest, OfferAnswer, OfferFailure, OpenOffer},
    pitchhitch_http1::{BodyFraming, TcpConnection},
    pitchhitch_platform::{encode_response_head, BodyLength},
    pitchhitch_process::DeadlineTimer,
};

/// Longest answer that is held until it is whole, in bytes. The usual plain
/// services answer with 5 kB at most.
const HELD_LIMIT: usize = 8 << 20;

/// An answer that has come whole, ready to go to the caller.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    /// Status code.
    pub status: u16,
    /// Head and body as the caller gets them.
    pub bytes: Vec<u8>,
}

/// Reads an answer to its end, so that a part of one never looks whole.
pub(crate) async fn read_plain_answer(
    offer: &mut OpenOffer,
    answer: &OfferAnswer,
    has_no_body: bool,
    closes: bool,
    caller: &mut TcpConnection,
    timer: &mut DeadlineTimer,
) -> Result<WholeAnswer, OfferFailure> {
    let framing = if has_no_body {
        BodyFraming::Empty
    } else {
        answer.framing
    };
    let mut body = Vec::new();
    read_rest(offer, framing, &mut body, HELD_LIMIT, caller, timer).await?;
    let length = match framing {
        BodyFraming::Empty => BodyLength::Absent,
        _ => BodyLength::Known(body.len()),
    };
    let mut bytes = encode_response_head(&answer.head, length, closes);
    bytes.extend_from_slice(&body);
    Ok(WholeAnswer {
        status: answer.head.status,
        bytes,
    })
}
