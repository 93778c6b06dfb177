//! Fuzzes every decoder of bytes that come from another process, a caller or an
//! operator with random and mutated inputs: `fuzz [INPUTS] [SEED]`.
//!
//! A panic aborts the run. Resident memory after the run is printed; above 512 MiB
//! the run fails.

use {
    pitchhitch_core::{
        conf::{ConfigHead, FleetConfig, PeerConfig},
        labels::LabelSelector,
        role::{AgentPulse, ConfigNotice, EndpointEvent, EventBatch},
        route::LoadReport,
    },
    pitchhitch_entry::{
        conf::EntrySettings,
        openai::{PromptRequest, PromptShape, SseSplitter},
    },
    pitchhitch_process::ProcessUsage,
    pitchhitch_wire::{
        beacon::{BeaconKey, NumberedBeacon},
        codec::{encode_frame, FrameReader},
        messages::{LinkCall, LinkReply},
    },
    rand::{Rng, RngCore, SeedableRng},
    rand_pcg::Pcg32,
    std::process::ExitCode,
};

const DEFAULT_INPUTS: u64 = 1_000_000;
const MAX_RESIDENT_BYTES: u64 = 512 * 1024 * 1024;

/// Valid inputs to mutate.
fn seeds() -> Vec<Vec<u8>> {
    let pulse = AgentPulse {
        load: LoadReport::default(),
        refusing: true,
        exporting: 1,
        taken_up: 0,
    };
    let notice = LinkCall::Notice(ConfigNotice {
        revision: 7,
        leaving: true,
        box_leaving: false,
    });
    let batch = LinkReply::Events(EventBatch {
        first: 3,
        events: vec![
            EndpointEvent::Version("v1".to_string()),
            EndpointEvent::Cleared,
        ],
        pulse,
    });
    let chunk = LinkReply::Chunk(vec![1, 2, 3]);
    let mut seeds: Vec<Vec<u8>> = [
        encode_frame(&notice),
        encode_frame(&batch),
        encode_frame(&chunk),
    ]
    .into_iter()
    .flatten()
    .map(|frame| frame.to_vec())
    .collect();
    for text in [
        r#"{"model": "m", "stream": true, "messages": [{"role": "user", "content": "hi"}]}"#,
        r#"{"model": "m", "prompt": ["a", "b"]}"#,
        r#"{"box_id": "e", "callers": "127.0.0.1:1", "max_running": 3, "policy": "estimate"}"#,
        r#"{"revision": 3, "rules": {"r": {"work": "a=b", "endpoints": "!c"}}}"#,
        "id: 7\ndata: {}\n\ndata: [DONE]\n\n",
        "site=a,tier in (gold|silver),!leaving",
    ] {
        seeds.push(text.as_bytes().to_vec());
    }
    seeds
}

fn mutate(
    seed: &[u8],
    random: &mut Pcg32,
) -> Vec<u8> {
    let mut bytes = seed.to_vec();
    for _ in 0..random.gen_range(0..6) {
        let index = random.gen_range(0..=bytes.len());
        match random.gen_range(0..4) {
            0 if index < bytes.len() => bytes[index] = random.gen(),
            1 if index < bytes.len() => {
                bytes.remove(index);
            }
            2 => bytes.truncate(index),
            _ => bytes.insert(index, random.gen()),
        }
    }
    bytes
}

fn decode_all(bytes: &[u8]) {
    let mut reader = FrameReader::default();
    reader.feed(bytes);
    let _ = reader.next_frame::<LinkCall>();
    let mut reader = FrameReader::default();
    reader.feed(bytes);
    let _ = reader.next_frame::<LinkReply>();
    let _ = NumberedBeacon::open(bytes, &BeaconKey::from_secret("fuzz"));
    let _ = PromptRequest::parse(PromptShape::Chat, bytes);
    let _ = PromptRequest::parse(PromptShape::Completion, bytes);
    let mut splitter = SseSplitter::default();
    let _ = splitter.feed(bytes);
    let _ = serde_json::from_slice::<FleetConfig>(bytes);
    let _ = serde_json::from_slice::<ConfigHead>(bytes);
    let _ = serde_json::from_slice::<PeerConfig>(bytes);
    if let Ok(text) = std::str::from_utf8(bytes) {
        let _ = LabelSelector::parse(text);
        let _ = EntrySettings::parse("fuzz", text);
    }
}

fn main() -> ExitCode {
    let mut args = std::env::args()
        .skip(1)
        .map(|text| text.parse().unwrap_or(0));
    let inputs = args.next().unwrap_or(DEFAULT_INPUTS);
    let mut random = Pcg32::seed_from_u64(args.next().unwrap_or(1));
    let seeds = seeds();
    for _ in 0..inputs {
        if random.gen_bool(0.2) {
            let mut bytes = vec![0; random.gen_range(0..256)];
            random.fill_bytes(&mut bytes);
            decode_all(&bytes);
        } else {
            let seed = &seeds[random.gen_range(0..seeds.len())];
            decode_all(&mutate(seed, &mut random));
        }
    }
    let resident = ProcessUsage::current().resident_bytes;
    println!("{inputs} inputs, no panic, {} MiB resident", resident >> 20);
    ExitCode::from(u8::from(resident > MAX_RESIDENT_BYTES))
}
