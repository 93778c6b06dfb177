//! Body framing: a body is decoded completely however the network splits it.

use {
    pitchhitch_http1::{
        parse_request_head, parse_response_head, write_chunk, BodyDecoder, BodyFraming, HeadError,
        LAST_CHUNK,
    },
    proptest::prelude::*,
};

fn decode(
    framing: BodyFraming,
    pieces: &[&[u8]],
) -> Result<(Vec<u8>, bool, usize), HeadError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    let mut used = 0;
    for piece in pieces {
        used += decoder.decode(piece, &mut body)?;
    }
    Ok((body, decoder.is_done(), used))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn chunks_rejoined(
        parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..8),
        piece_length in 1usize..20,
    ) {
        let mut wire = Vec::new();
        for part in &parts {
            write_chunk(&mut wire, part);
        }
        wire.extend_from_slice(LAST_CHUNK);
        let length = wire.len();
        wire.extend_from_slice(b"NEXT");
        let pieces: Vec<&[u8]> = wire.chunks(piece_length).collect();
        let (body, is_done, used) = decode(BodyFraming::Chunked, &pieces).expect("valid");
        prop_assert_eq!(body, parts.concat());
        prop_assert!(is_done);
        prop_assert_eq!(used, length, "bytes after the body are not consumed");
    }
}

#[test]
fn cut_body_unfinished() {
    for wire in [
        &b"5\r\nabc"[..],
        b"5\r\nabcde\r\n",
        b"5\r\nabcde\r\n0\r\n",
        b"",
    ] {
        let (_, is_done, _) = decode(BodyFraming::Chunked, &[wire]).expect("valid so far");
        assert!(!is_done);
    }
    let (_, is_done, _) = decode(BodyFraming::Length(4), &[b"abc"]).expect("valid so far");
    assert!(!is_done);
}

#[test]
fn bad_chunks_refused() {
    for wire in [
        &b"x\r\n"[..],
        b"\r\n",
        b"-1\r\n",
        b"+5\r\nabcde",
        b"5\nabcde",
        b"1\r\nab\r\n",
    ] {
        assert_eq!(
            decode(BodyFraming::Chunked, &[wire]).err(),
            Some(HeadError::Malformed)
        );
    }
}

fn framing(head: &str) -> Result<BodyFraming, HeadError> {
    let text = format!("POST /x HTTP/1.1\r\n{head}\r\n");
    let (head, _) = parse_request_head(text.as_bytes(), 4_096)?.expect("complete");
    BodyFraming::for_request(&head.fields)
}

/// Request smuggling: a request whose end two recipients could place differently can hide
/// another request.
#[test]
fn ambiguous_length_refused() {
    assert_eq!(framing("Content-Length: 5\r\n"), Ok(BodyFraming::Length(5)));
    assert_eq!(
        framing("Transfer-Encoding: chunked\r\n"),
        Ok(BodyFraming::Chunked)
    );
    assert_eq!(framing(""), Ok(BodyFraming::Empty));
    for ambiguous in [
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length:\r\n",
    ] {
        assert_eq!(
            framing(ambiguous),
            Err(HeadError::AmbiguousLength),
            "{ambiguous}"
        );
    }
}

#[test]
fn heads_limited() {
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(500));
    assert_eq!(
        parse_request_head(long.as_bytes(), 100),
        Err(HeadError::TooLong)
    );
    assert_eq!(parse_request_head(&long.as_bytes()[..90], 100), Ok(None));
    assert_eq!(
        parse_response_head(b"\x00\x01nonsense\r\n\r\n", 100),
        Err(HeadError::Malformed)
    );
}

#[test]
fn fields_found() {
    let text =
        b"HTTP/1.1 200 OK\r\nConnection: Keep-Alive, Close\r\nEmpty:\r\nA: 1\r\na: 2\r\n\r\n";
    let (head, length) = parse_response_head(text, 4_096)
        .expect("valid")
        .expect("complete");
    assert_eq!(length, text.len());
    assert!(head.fields.has_token("connection", "close"));
    assert_eq!(head.fields.get_str("A"), Some("1"));
    assert_eq!(head.fields.get_str("empty"), Some(""));
    assert_eq!(head.fields.get_all("a").count(), 2);
    assert_eq!(head.fields.get("none"), None);
}
