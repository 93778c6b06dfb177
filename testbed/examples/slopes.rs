//! Measures what each mechanism costs at four or more sizes, in one process, and
//! prints slope, fit error and range: as JSON with `--json`, else as the tables of
//! `docs/CAPACITY.md`.

use {
    pitchhitch_core::{
        conf::{
            ChangeRecord, ConfigChange, ConfigHead, CostWeights, FleetConfig, LabelTarget,
            ModelConf, OrganisationConf, OrganisationLimits, VersionConf,
        },
        kept::{prefix_chain, PieceKey, StoreTier},
        labels::LabelSet,
        lease::LeaseTimes,
        limit::LimitTable,
        member::{AgentBeacon, Beacon, EntryBeacon},
        role::{
            AgentPulse, BoxNotice, BoxRole, EntryAction, EntryCore, EntryEvent, EntrySetup,
            EventBatch, PromptUse, StoredNotice, UpwardEvent,
        },
        route::{
            EndpointKind, LoadReport, RoutePolicy, RouteRequest, RouteTable, SentLoad, WorkTarget,
        },
        time::Micros,
    },
    pitchhitch_process::ProcessUsage,
    pitchhitch_wire::{
        beacon::{BeaconKey, NumberedBeacon},
        codec::encode_frame,
        messages::LinkReply,
    },
    serde::Serialize,
    std::{hint::black_box, net::SocketAddr, sync::Arc, time::Instant},
};

/// One measured point.
#[derive(Debug, Clone, Copy, Serialize)]
struct Point {
    size: f64,
    value: f64,
}

/// A straight line through measured points.
#[derive(Debug, Clone, Serialize)]
struct SlopeRow {
    mechanism: &'static str,
    unit: &'static str,
    per: &'static str,
    base: f64,
    slope: f64,
    /// Largest distance of a point from the line, as a part of the largest value.
    fit_error: f64,
    points: Vec<Point>,
}

fn fit(
    mechanism: &'static str,
    unit: &'static str,
    per: &'static str,
    points: Vec<Point>,
) -> SlopeRow {
    let n = points.len() as f64;
    let mean = |f: fn(&Point) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.size), mean(|p| p.value));
    let xy: f64 = points.iter().map(|p| (p.size - x) * (p.value - y)).sum();
    let xx: f64 = points.iter().map(|p| (p.size - x).powi(2)).sum();
    let slope = xy / xx;
    let base = y - slope * x;
    let largest = points.iter().map(|p| p.value.abs()).fold(0.0, f64::max);
    let off = |p: &Point| (p.value - base - slope * p.size).abs();
    let fit_error = points.iter().map(off).fold(0.0, f64::max) / largest.max(f64::MIN_POSITIVE);
    SlopeRow {
        mechanism,
        unit,
        per,
        base,
        slope,
        fit_error,
        points,
    }
}

/// Median of several runs, in microseconds.
fn median_micros(
    runs: usize,
    mut work: impl FnMut(),
) -> f64 {
    let mut spans: Vec<f64> = (0..runs)
        .map(|_| {
            let started = Instant::now();
            work();
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    spans.sort_by(f64::total_cmp);
    spans[runs / 2]
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn load() -> LoadReport {
    LoadReport {
        pending_tokens: 900,
        running: 3,
        slots: 16,
        token_cost: 20.0,
        service_time: 100_000.0,
        healthy: true,
    }
}

fn pulse(pending: u64) -> AgentPulse {
    let mut load = load();
    load.pending_tokens = pending;
    AgentPulse {
        load,
        refusing: false,
        exporting: 0,
        taken_up: 0,
    }
}

fn agent_beacon(number: usize) -> AgentBeacon {
    let labels = [
        ("site", "a"),
        ("failure_domain", "nairobi-1"),
        ("group", "group-1"),
    ];
    AgentBeacon {
        endpoint_id: format!("engine-{number:05}"),
        kind: EndpointKind::Engine {
            model: "assistant".to_string(),
            version: "v1".to_string(),
        },
        group: format!("group-{}", number / 16),
        labels: labels.into_iter().collect::<LabelSet>(),
        address: address(),
        incarnation: 1,
        refusing: false,
        exporting: 0,
        taken_up: 0,
        revision: 1,
        load: load(),
    }
}

fn config(organisations: usize) -> FleetConfig {
    let mut config = FleetConfig {
        revision: 1,
        ..FleetConfig::default()
    };
    for number in 0..organisations {
        let conf = OrganisationConf {
            key_hashes: vec!["0".repeat(64)],
            ..OrganisationConf::default()
        };
        config
            .organisations
            .insert(format!("org-{number:03}"), conf);
    }
    let model = ModelConf {
        active: "v1".to_string(),
        versions: [("v1".to_string(), VersionConf::default())]
            .into_iter()
            .collect(),
        token_bytes: 128,
    };
    config.models.insert("assistant".to_string(), model);
    config
}

fn core_with(
    endpoints: usize,
    organisations: usize,
) -> EntryCore {
    let mut core = EntryCore::new(EntrySetup {
        box_id: "entry-1".to_string(),
        holder: "entry-1.1".to_string(),
        policy: RoutePolicy::Estimate,
        lease: LeaseTimes::default(),
    });
    core.step(
        Micros(0),
        EntryEvent::ConfigRead(Arc::new(config(organisations))),
    );
    for number in 0..endpoints {
        let beacon = agent_beacon(number);
        let endpoint_id = beacon.endpoint_id.clone();
        let own = SentLoad::default();
        core.step(Micros(1), EntryEvent::AgentHeard { beacon, own });
        if let Some(entry) = core.roster().get(&endpoint_id) {
            black_box(entry.linked);
        }
    }
    // One publication for all of them, not one each.
    for number in 0..endpoints {
        let endpoint_id = format!("engine-{number:05}");
        if number < 4 {
            core.step(
                Micros(2),
                EntryEvent::StreamOpened {
                    endpoint_id,
                    incarnation: 1,
                },
            );
        }
    }
    core
}

fn table_of(core: &mut EntryCore) -> Option<Arc<RouteTable>> {
    // Something must have changed for a view to be published.
    core.step(
        Micros(30),
        EntryEvent::PulseSeen {
            endpoint_id: "engine-00001".to_string(),
            pulse: pulse(77),
            own: SentLoad::default(),
        },
    );
    let mut actions = core.step(Micros(31), EntryEvent::Tick);
    actions.reverse();
    actions.into_iter().find_map(|action| match action {
        EntryAction::Publish { table, .. } => Some(table),
        _ => None,
    })
}

const ENDPOINTS: [usize; 4] = [100, 500, 2_000, 10_000];

fn beacons(rows: &mut Vec<SlopeRow>) {
    let key = BeaconKey::from_secret("slopes");
    let sealed = |counter| NumberedBeacon {
        counter,
        beacon: Beacon::Agent(agent_beacon(7)),
    };
    let mut seal = Vec::new();
    let mut open = Vec::new();
    let mut bytes = Vec::new();
    for count in [100, 1_000, 5_000, 20_000] {
        let datagrams: Vec<Vec<u8>> = (0..count)
            .filter_map(|n| sealed(n).seal(&key).ok())
            .collect();
        let size = count as f64;
        bytes.push(Point {
            size,
            value: datagrams.iter().map(Vec::len).sum::<usize>() as f64,
        });
        let value = median_micros(5, || {
            (0..count).for_each(|n| {
                let _ = black_box(sealed(n).seal(&key));
            })
        });
        seal.push(Point { size, value });
        let value = median_micros(5, || {
            datagrams.iter().for_each(|d| {
                let _ = black_box(NumberedBeacon::open(d, &key));
            })
        });
        open.push(Point { size, value });
    }
    rows.push(fit("agent beacon, wire", "bytes", "beacon", bytes));
    rows.push(fit("agent beacon, make and seal", "us", "beacon", seal));
    rows.push(fit("agent beacon, check and read", "us", "beacon", open));
    let entry = Beacon::Entry(EntryBeacon {
        entry_id: "entry-0001".to_string(),
        failure_domain: "nairobi-1".to_string(),
        address: address(),
        peer_address: address(),
        incarnation: 1,
        revision: 63_000,
        running: 100,
    });
    let one = NumberedBeacon {
        counter: 1,
        beacon: entry,
    }
    .seal(&key)
    .map_or(0, |d| d.len());
    let points = [1.0, 10.0, 100.0, 1_000.0].map(|size| Point {
        size,
        value: size * one as f64,
    });
    rows.push(fit(
        "entry beacon, wire",
        "bytes",
        "beacon",
        points.to_vec(),
    ));
}

fn endpoints(rows: &mut Vec<SlopeRow>) {
    let mut memory = Vec::new();
    let mut hear = Vec::new();
    let mut tick = Vec::new();
    let mut pools = Vec::new();
    for count in ENDPOINTS {
        let size = count as f64;
        let mut core = core_with(count, 10);
        memory.push(memory_point("endpoints", count));
        let mut pending = 0;
        let value = median_micros(7, || {
            pending += 1;
            for number in 0..count {
                core.step(
                    Micros(10),
                    EntryEvent::PulseSeen {
                        endpoint_id: format!("engine-{number:05}"),
                        pulse: pulse(pending),
                        own: SentLoad::default(),
                    },
                );
            }
        });
        hear.push(Point { size, value });
        let mut now = 20;
        let value = median_micros(41, || {
            now += 1;
            // Something has changed, so the view is published.
            core.step(
                Micros(now),
                EntryEvent::PulseSeen {
                    endpoint_id: "engine-00001".to_string(),
                    pulse: pulse(now),
                    own: SentLoad::default(),
                },
            );
            black_box(core.step(Micros(now), EntryEvent::Tick));
        });
        tick.push(Point { size, value });
        let mut revision = 1;
        let value = median_micros(5, || {
            revision += 1;
            let mut newer = config(10);
            newer.revision = revision;
            black_box(core.step(Micros(now), EntryEvent::ConfigRead(Arc::new(newer))));
        });
        pools.push(Point { size, value });
    }
    rows.push(fit(
        "endpoint known in detail, memory",
        "bytes",
        "endpoint",
        memory,
    ));
    rows.push(fit("load report taken in", "us", "report", hear));
    rows.push(fit(
        "tick with a new view published",
        "us",
        "endpoint",
        tick,
    ));
    rows.push(fit(
        "configuration put into force, 10 organisations",
        "us",
        "endpoint",
        pools,
    ));
}

fn organisations(rows: &mut Vec<SlopeRow>) {
    let mut force = Vec::new();
    let mut bytes = Vec::new();
    for count in [10, 100, 440, 1_000] {
        let size = count as f64;
        let mut core = core_with(200, count);
        let mut revision = 1;
        let value = median_micros(7, || {
            revision += 1;
            let mut newer = config(count);
            newer.revision = revision;
            black_box(core.step(Micros(5), EntryEvent::ConfigRead(Arc::new(newer))));
        });
        force.push(Point { size, value });
        let text = serde_json::to_vec(&config(count)).unwrap_or_default();
        bytes.push(Point {
            size,
            value: text.len() as f64,
        });
    }
    rows.push(fit(
        "configuration put into force, 200 endpoints",
        "us",
        "organisation",
        force,
    ));
    rows.push(fit(
        "configuration document",
        "bytes",
        "organisation",
        bytes,
    ));
}

fn changes(rows: &mut Vec<SlopeRow>) {
    let change = |n: usize| ConfigChange::Label {
        target: LabelTarget::Endpoint(format!("engine-{n:05}")),
        key: "site".to_string(),
        value: Some("b".to_string()),
    };
    let mut bytes = Vec::new();
    let mut apply = Vec::new();
    for count in [1, 8, 32, 64] {
        let mut head = ConfigHead::default();
        for number in 0..count {
            head = head.appended(&format!("{number:032x}"), "operator-1", 0, change(number));
        }
        let size = count as f64;
        let text = serde_json::to_vec(&head).unwrap_or_default();
        bytes.push(Point {
            size,
            value: text.len() as f64,
        });
        let base = FleetConfig::default();
        let value = median_micros(21, || {
            black_box(head.bring_up(&base)).ok();
        });
        apply.push(Point { size, value });
    }
    rows.push(fit(
        "head row, wire",
        "bytes",
        "change since the base",
        bytes,
    ));
    rows.push(fit("change applied", "us", "change", apply));
}

/// One more change put into force, with so many labelled endpoints in the configuration.
fn changes_in_force(rows: &mut Vec<SlopeRow>) {
    let mut points = Vec::new();
    let mut bytes = Vec::new();
    for count in [100usize, 1_000, 3_000, 10_000] {
        let label = |n: usize, value: &str| ConfigChange::Label {
            target: LabelTarget::Endpoint(format!("engine-{n:05}")),
            key: "site".to_string(),
            value: Some(value.to_string()),
        };
        let mut labelled = config(440);
        for number in 0..count {
            let _ = labelled.apply(&label(number, "a"));
        }
        let text = serde_json::to_vec(&labelled).unwrap_or_default();
        bytes.push(Point {
            size: count as f64,
            value: text.len() as f64,
        });
        let mut revision = labelled.revision;
        let mut core = core_with(40, 10);
        core.step(Micros(5), EntryEvent::ConfigRead(Arc::new(labelled)));
        let value = median_micros(21, || {
            revision += 1;
            let record = ChangeRecord {
                revision,
                change_id: revision.to_string(),
                operator: "operator-1".to_string(),
                at_secs: 0,
                change: label(7, "b"),
            };
            black_box(core.step(Micros(6), EntryEvent::ChangesRead(vec![record])));
        });
        points.push(Point {
            size: count as f64,
            value,
        });
    }
    let mechanism = "one change put into force, 440 organisations, 40 endpoints known";
    rows.push(fit(mechanism, "us", "labelled endpoint", points));
    rows.push(fit(
        "configuration document, 440 organisations",
        "bytes",
        "labelled endpoint",
        bytes,
    ));
}

fn key(number: u128) -> PieceKey {
    let hash = blake3::hash(&number.to_le_bytes());
    let mut half = [0; 16];
    half.copy_from_slice(&hash.as_bytes()[..16]);
    PieceKey(u128::from_le_bytes(half))
}

fn said(
    first: u64,
    events: Vec<UpwardEvent>,
) -> EntryEvent {
    EntryEvent::AgentSaid {
        endpoint_id: "engine-00000".to_string(),
        incarnation: 1,
        batch: EventBatch {
            first,
            events,
            pulse: pulse(1),
        },
        own: SentLoad::default(),
    }
}

/// What is put into a core to see how much memory it takes.
fn fill(
    kind: &str,
    count: usize,
) -> EntryCore {
    if kind == "endpoints" {
        return core_with(count, 10);
    }
    let mut core = core_with(4, 10);
    let store = BoxNotice {
        id: "store-1".to_string(),
        role: BoxRole::Store,
        group: "group-0".to_string(),
        failure_domain: "d".to_string(),
        address: address(),
        leaving: false,
    };
    core.step(Micros(3), EntryEvent::BoxesListed(vec![store]));
    let numbers = 0..count as u128;
    let events: Vec<UpwardEvent> = match kind {
        "cached" => numbers.map(|n| UpwardEvent::Cached(key(n))).collect(),
        "stored" => numbers.map(stored).collect(),
        _ => numbers.map(used).collect(),
    };
    // As they come over a link: in batches, with a view published between.
    let mut first = 0;
    for chunk in events.chunks(10_000) {
        core.step(Micros(5), said(first, chunk.to_vec()));
        black_box(core.step(Micros(6), EntryEvent::Tick));
        first += chunk.len() as u64;
    }
    core
}

fn stored(number: u128) -> UpwardEvent {
    UpwardEvent::Stored(StoredNotice {
        key: key(number),
        store: "store-1".to_string(),
        tier: StoreTier::Memory,
        generation: number as u64,
        identity: key((number / 14) << 64),
    })
}

fn used(number: u128) -> UpwardEvent {
    UpwardEvent::PromptUsed(PromptUse {
        identity: key(number),
        organisation: format!("org-{:03}", number % 10),
        label: "file".to_string(),
    })
}

/// Memory that one filling takes, in bytes, measured in a process of its own.
fn memory_point(
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

const MEMORY_ROLE: &str = "--memory";

fn print_memory(args: &[String]) {
    let count = args[1].parse().unwrap_or(0);
    let before = ProcessUsage::of_self().resident_bytes;
    let core = fill(&args[0], count);
    let after = ProcessUsage::of_self().resident_bytes;
    println!("{}", after.saturating_sub(before));
    black_box(core);
}

fn pieces(rows: &mut Vec<SlopeRow>) {
    let mut add = Vec::new();
    for count in [20_000u64, 80_000, 160_000, 320_000] {
        let events: Vec<UpwardEvent> = (0..count)
            .map(|n| UpwardEvent::Cached(key(n.into())))
            .collect();
        let mut core = core_with(4, 10);
        let started = Instant::now();
        core.step(Micros(5), said(0, events));
        let value = started.elapsed().as_secs_f64() * 1e6;
        add.push(Point {
            size: count as f64,
            value,
        });
    }
    let memory = |kind: &str, counts: [usize; 4]| counts.map(|n| memory_point(kind, n)).to_vec();
    let cached = memory("cached", [40_000, 80_000, 160_000, 320_000]);
    rows.push(fit(
        "cached piece in the directory, memory",
        "bytes",
        "piece",
        cached,
    ));
    rows.push(fit("cached piece taken in", "us", "piece", add));
    let stored = memory("stored", [10_000, 40_000, 80_000, 160_000]);
    rows.push(fit(
        "stored piece in directory and ledger, memory",
        "bytes",
        "piece",
        stored,
    ));
    let prompts = memory("prompts", [5_000, 10_000, 20_000, 30_000]);
    rows.push(fit("prompt remembered, memory", "bytes", "prompt", prompts));
    let mut wire = Vec::new();
    for count in [10u64, 100, 1_000, 10_000] {
        let batch = EventBatch {
            first: 0,
            events: (0..count)
                .map(|n| UpwardEvent::Cached(key(n.into())))
                .collect(),
            pulse: pulse(1),
        };
        let frame = encode_frame(&LinkReply::Events(batch)).map_or(0, |f| f.len());
        wire.push(Point {
            size: count as f64,
            value: frame as f64,
        });
    }
    rows.push(fit("cache event, wire", "bytes", "piece", wire));
}

fn requests(rows: &mut Vec<SlopeRow>) {
    let mut decide = Vec::new();
    for count in ENDPOINTS {
        let mut core = core_with(count, 10);
        let Some(table) = table_of(&mut core) else {
            continue;
        };
        // Endpoints count as alive only once linked; here all of them are.
        let mut table = (*table).clone();
        table.loads.values_mut().for_each(|load| load.alive = true);
        let target = WorkTarget::Model("assistant".to_string());
        let mut seed = 0;
        let value = median_micros(501, || {
            seed += 1;
            let request = RouteRequest {
                organisation: "org-001",
                target: &target,
                version: "v1",
                pieces: &[],
                input_tokens: 7_000,
                weights: CostWeights::default(),
                token_bytes: 128,
                excluded: &[],
                now: Micros(40),
                seed,
            };
            black_box(table.choose(&request, |_| SentLoad::default())).ok();
        });
        decide.push(Point {
            size: count as f64,
            value,
        });
    }
    rows.push(fit("routing decision", "us", "candidate", decide));
    let mut hash = Vec::new();
    for pieces in [4usize, 16, 64, 256] {
        let text = vec![7u8; pieces * 2_048];
        let value = median_micros(101, || {
            black_box(prefix_chain("org", "v1", &text));
        });
        hash.push(Point {
            size: pieces as f64,
            value,
        });
    }
    rows.push(fit("names of a prompt's pieces", "us", "piece", hash));
    let mut admit = Vec::new();
    for count in [10usize, 100, 440, 1_000] {
        let mut limits = LimitTable::new(1_000_000);
        let wide = OrganisationLimits {
            requests_per_second: 1.0e9,
            burst: 1.0e9,
            concurrency: 1_000_000,
        };
        let names: Vec<String> = (0..count).map(|n| format!("org-{n:03}")).collect();
        names.iter().for_each(|name| {
            let _ = limits.admit(name, &wide, 1.0, Micros(0));
        });
        let value = median_micros(501, || {
            let _ = black_box(limits.admit(&names[0], &wide, 1.0, Micros(1)));
            limits.release(&names[0]);
        });
        admit.push(Point {
            size: count as f64,
            value,
        });
    }
    rows.push(fit(
        "limits of a request",
        "us",
        "active organisation",
        admit,
    ));
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.len() == 3 && args[0] == MEMORY_ROLE {
        print_memory(&args[1..]);
        return;
    }
    let mut rows = Vec::new();
    beacons(&mut rows);
    endpoints(&mut rows);
    organisations(&mut rows);
    changes(&mut rows);
    changes_in_force(&mut rows);
    pieces(&mut rows);
    requests(&mut rows);
    if std::env::args().any(|arg| arg == "--json") {
        println!(
            "{}",
            serde_json::to_string_pretty(&rows).unwrap_or_default()
        );
        return;
    }
    println!("| mechanism | slope | base | fit error | measured from | to |");
    println!("|---|---|---|---|---|---|");
    for row in &rows {
        let (first, last) = (row.points[0].size, row.points[row.points.len() - 1].size);
        println!(
            "| {} | {:.3} {} a {} | {:.1} {} | {:.0}% | {first} | {last} |",
            row.mechanism,
            row.slope,
            row.unit,
            row.per,
            row.base,
            row.unit,
            row.fit_error * 100.0
        );
    }
}
