//! Cost of cached and stored pieces.

use {
    crate::{
        core_fixture::{address, build_core, pulse},
        slope_row::{fit_line, Point, SlopeRow},
    },
    pitchhitch_core::{
        kv_cache::{PieceKey, StoreTier},
        role::{
            BoxRole, EndpointEvent, EntryCore, EntryEvent, EventBatch, ListedBox, PromptUse,
            StoredNotice,
        },
        route::InFlightLoad,
        time::Micros,
    },
    pitchhitch_process::ProcessUsage,
    pitchhitch_wire::{codec::encode_frame, messages::LinkReply},
    std::{hint::black_box, time::Instant},
};

pub const MEMORY_ROLE: &str = "--memory";

pub fn piece_key(number: u128) -> PieceKey {
    let hash = blake3::hash(&number.to_le_bytes());
    let mut half = [0; 16];
    half.copy_from_slice(&hash.as_bytes()[..16]);
    PieceKey(u128::from_le_bytes(half))
}

pub fn events_received(
    first: u64,
    events: Vec<EndpointEvent>,
) -> EntryEvent {
    EntryEvent::AgentEventsReceived {
        endpoint_id: "engine-00000".to_string(),
        incarnation: 1,
        batch: EventBatch {
            first,
            events,
            pulse: pulse(1),
        },
        own: InFlightLoad::default(),
    }
}

/// Builds a core that holds `count` items of a kind, to measure its memory.
pub fn fill_core(
    kind: &str,
    count: usize,
) -> EntryCore {
    if kind == "endpoints" {
        return build_core(count, 10);
    }
    let mut core = build_core(4, 10);
    let store = ListedBox {
        id: "store-1".to_string(),
        role: BoxRole::Store,
        group: "group-0".to_string(),
        failure_domain: "d".to_string(),
        address: address(),
        leaving: false,
    };
    core.step(Micros(3), EntryEvent::BoxesListed(vec![store]));
    let numbers = 0..count as u128;
    let events: Vec<EndpointEvent> = match kind {
        "cached" => numbers
            .map(|n| EndpointEvent::Cached(piece_key(n)))
            .collect(),
        "stored" => numbers.map(piece_stored).collect(),
        _ => numbers.map(prompt_used).collect(),
    };
    // As over a link: in batches, with a view published after each.
    let mut first = 0;
    for chunk in events.chunks(10_000) {
        core.step(Micros(5), events_received(first, chunk.to_vec()));
        black_box(core.step(Micros(6), EntryEvent::Tick));
        first += chunk.len() as u64;
    }
    core
}

pub fn piece_stored(number: u128) -> EndpointEvent {
    EndpointEvent::Stored(StoredNotice {
        key: piece_key(number),
        store: "store-1".to_string(),
        tier: StoreTier::Memory,
        generation: number as u64,
        identity: piece_key((number / 14) << 64),
    })
}

pub fn prompt_used(number: u128) -> EndpointEvent {
    EndpointEvent::PromptUsed(PromptUse {
        identity: piece_key(number),
        organisation: format!("org-{:03}", number % 10),
        label: "file".to_string(),
    })
}

/// Memory of `count` items of a kind in bytes, measured in a separate process.
pub fn memory_point(
    kind: &str,
    count: usize,
) -> Point {
    let measured = std::env::current_exe().and_then(|program| {
        let count = count.to_string();
        std::process::Command::new(program)
            .args([MEMORY_ROLE, kind, &count])
            .output()
    });
    let text = measured.map(|o| String::from_utf8_lossy(&o.stdout).to_string());
    Point {
        size: count as f64,
        value: text.unwrap_or_default().trim().parse().unwrap_or(f64::NAN),
    }
}

pub fn print_memory(args: &[String]) {
    let count = args[1].parse().unwrap_or(0);
    let before = ProcessUsage::current().resident_bytes;
    let core = fill_core(&args[0], count);
    let after = ProcessUsage::current().resident_bytes;
    println!("{}", after.saturating_sub(before));
    black_box(core);
}

pub fn measure_pieces(rows: &mut Vec<SlopeRow>) {
    let mut add = Vec::new();
    for count in [20_000u64, 80_000, 160_000, 320_000] {
        let events: Vec<EndpointEvent> = (0..count)
            .map(|n| EndpointEvent::Cached(piece_key(n.into())))
            .collect();
        let mut core = build_core(4, 10);
        let started = Instant::now();
        core.step(Micros(5), events_received(0, events));
        let value = started.elapsed().as_secs_f64() * 1e6;
        add.push(Point {
            size: count as f64,
            value,
        });
    }
    let memory = |kind: &str, counts: [usize; 4]| counts.map(|n| memory_point(kind, n)).to_vec();
    let cached = memory("cached", [40_000, 80_000, 160_000, 320_000]);
    rows.push(fit_line(
        "cached piece in the directory, memory",
        "bytes",
        "piece",
        cached,
    ));
    rows.push(fit_line("cached piece taken in", "us", "piece", add));
    let stored = memory("stored", [10_000, 40_000, 80_000, 160_000]);
    rows.push(fit_line(
        "stored piece in directory and ledger, memory",
        "bytes",
        "piece",
        stored,
    ));
    let prompts = memory("prompts", [5_000, 10_000, 20_000, 30_000]);
    rows.push(fit_line(
        "prompt remembered, memory",
        "bytes",
        "prompt",
        prompts,
    ));
    let mut wire = Vec::new();
    for count in [10u64, 100, 1_000, 10_000] {
        let batch = EventBatch {
            first: 0,
            events: (0..count)
                .map(|n| EndpointEvent::Cached(piece_key(n.into())))
                .collect(),
            pulse: pulse(1),
        };
        let frame = encode_frame(&LinkReply::Events(batch)).map_or(0, |f| f.len());
        wire.push(Point {
            size: count as f64,
            value: frame as f64,
        });
    }
    rows.push(fit_line("cache event, wire", "bytes", "piece", wire));
}
