//! Frames received from another process are decoded completely or rejected.

use {
    pitchhitch_core::{errors::ErrorKind, role::ConfigNotice},
    pitchhitch_wire::{
        codec::{
            encode_frame, FrameError, FrameReader, HEADER_BYTES, MAX_BODY_BYTES, WIRE_VERSION,
        },
        messages::{HandOver, LinkCall, LinkReply},
    },
    proptest::prelude::*,
};

fn notice() -> LinkCall {
    LinkCall::Notice(ConfigNotice {
        revision: 7,
        leaving: true,
        box_leaving: false,
    })
}

fn hand_over(body: Vec<u8>) -> LinkCall {
    LinkCall::HandOver(Box::new(HandOver {
        request_id: "r".to_string(),
        organisation: "org".to_string(),
        label: String::new(),
        version: None,
        tokens: 0,
        deadline_millis: 1,
        repeatable: false,
        method: "POST".to_string(),
        path: "/orders".to_string(),
        headers: Vec::new(),
        body,
        pieces: Vec::new(),
        import: None,
        export: None,
        resume_after: None,
    }))
}

fn read(bytes: &[u8]) -> Result<Option<LinkCall>, FrameError> {
    let mut reader = FrameReader::default();
    reader.feed(bytes);
    reader.next_frame()
}

#[test]
fn split_anywhere() {
    let frame = encode_frame(&notice()).expect("frame");
    for cut in 0..frame.len() {
        let mut reader = FrameReader::default();
        reader.feed(&frame[..cut]);
        assert_eq!(reader.next_frame::<LinkCall>(), Ok(None), "cut at {cut}");
        assert_eq!(reader.finish().is_err(), cut > 0);
        reader.feed(&frame[cut..]);
        assert_eq!(reader.next_frame(), Ok(Some(notice())));
        assert_eq!(reader.finish(), Ok(()));
    }
}

#[test]
fn huge_length_refused() {
    let mut bytes = vec![WIRE_VERSION];
    bytes.extend_from_slice(&u32::MAX.to_le_bytes());
    let error = read(&bytes).expect_err("too long");
    assert!(
        matches!(
            error,
            FrameError::TooLong {
                limit: MAX_BODY_BYTES,
                ..
            }
        ),
        "{error}"
    );
}

#[test]
fn other_version_refused() {
    let mut frame = encode_frame(&notice()).expect("frame").to_vec();
    frame[0] = WIRE_VERSION + 1;
    assert!(matches!(read(&frame), Err(FrameError::Version { .. })));
}

#[test]
fn trailing_bytes_refused() {
    let mut frame = encode_frame(&notice()).expect("frame").to_vec();
    frame.push(0);
    frame[1] += 1;
    assert!(matches!(read(&frame), Err(FrameError::Malformed { .. })));
}

#[test]
fn huge_inner_length_refused() {
    // The inner length of a chunk is far beyond its frame; no memory may be allocated for it.
    let mut body = vec![2];
    body.extend_from_slice(&[253, 255, 255, 255, 255, 255, 255, 255, 127]);
    let mut frame = vec![WIRE_VERSION];
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    let mut reader = FrameReader::default();
    reader.feed(&frame);
    let read: Result<Option<LinkReply>, _> = reader.next_frame();
    assert!(
        matches!(read, Err(FrameError::Malformed { .. })),
        "{read:?}"
    );
}

#[test]
fn overlong_message_not_sent() {
    let call = hand_over(vec![0; MAX_BODY_BYTES + 1]);
    assert!(encode_frame(&call).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(10),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_handled(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut framed = vec![WIRE_VERSION];
        framed.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
        framed.extend_from_slice(&bytes);
        let _ = read(&framed);
        let _ = read(&bytes);
    }

    #[test]
    fn mutated_frames_handled(
        body in proptest::collection::vec(any::<u8>(), 0..50),
        position in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        let mut frame = encode_frame(&hand_over(body)).expect("frame").to_vec();
        let index = position.index(frame.len());
        frame[index] = value;
        let _ = read(&frame);
    }

    #[test]
    fn replies_round_trip(bytes in proptest::collection::vec(any::<u8>(), 0..300), kind in 0usize..23) {
        let pulse = pitchhitch_core::role::AgentPulse {
            load: pitchhitch_core::route::LoadReport::default(),
            refusing: false,
            exporting: 3,
            taken_up: 0,
        };
        for reply in [
            LinkReply::Chunk(bytes.clone()),
            LinkReply::Refused { kind: ErrorKind::ALL[kind], pulse },
            LinkReply::End { body_bytes: bytes.len() as u64, pulse },
        ] {
            let frame = encode_frame(&reply).expect("frame");
            prop_assert!(frame.len() > HEADER_BYTES);
            let mut reader = FrameReader::default();
            reader.feed(&frame);
            prop_assert_eq!(reader.next_frame::<LinkReply>(), Ok(Some(reply)));
        }
    }
}
