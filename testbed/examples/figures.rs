//! Measures what one entry process adds, carries and needs, and what a routing
//! decision costs. Prints one table; each figure stands beside the one wanted.

use {
    anyhow::Context,
    hdrhistogram::Histogram,
    pitchhitch_core::{
        conf::{
            CostWeights, FleetConfig, ModelConf, OrganisationConf, OrganisationLimits, VersionConf,
        },
        kept::{prefix_chain, PieceHolder},
        labels::LabelSet,
        route::{
            EndpointArena, EndpointKind, EndpointLoad, EndpointState, LoadReport, PoolIndex,
            RouteRequest, RouteTable, SentLoad, WorkTarget,
        },
        time::Micros,
    },
    pitchhitch_process::{spawn, start_logging, start_traffic},
    pitchhitch_testbed::{
        deploy::{
            ChildEngine, Deployment, DeploymentShape, EngineRates, FakeAgents, FakeShape,
            ProgramSet,
        },
        replay::{CallHeader, CallerClient, PromptCall},
    },
    slotmap::SecondaryMap,
    smol::Timer,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
};

const THREADS: usize = 4;
const STREAMS: usize = 500;
const MEBIBYTE: f64 = 1024.0 * 1024.0;
const SECRET: &str = "secret of the testbed";

fn main() -> anyhow::Result<()> {
    ProgramSet::play_role();
    ChildEngine::play_role();
    std::env::set_var("PITCHHITCH_LOG", "error");
    start_logging();
    start_traffic(THREADS);
    let only = std::env::args().nth(1);
    let wants = |name: &str| only.as_deref().is_none_or(|o| o == name);
    println!("| figure | measured | wanted |\n|---|---|---|");
    smol::block_on(async {
        if wants("route") {
            route_cost();
        }
        if wants("delay") {
            added_delay().await?;
        }
        if wants("short") {
            short_requests().await?;
        }
        if wants("tokens") {
            streamed_tokens().await?;
        }
        if wants("once") {
            at_most_once().await?;
        }
        if wants("memory") {
            memory_and_idle().await?;
        }
        anyhow::Ok(())
    })
}

fn row(
    figure: &str,
    measured: String,
    wanted: &str,
) {
    println!("| {figure} | {measured} | {wanted} |");
}

fn shape(name: &str) -> DeploymentShape {
    DeploymentShape {
        engines: 0,
        services: 0,
        entries: 1,
        entry_threads: 2,
        slots: 2_000,
        service_prefix: "/engine".to_string(),
        health_path: "/engine/health".to_string(),
        log_level: "error".to_string(),
        limits: OrganisationLimits {
            requests_per_second: 1.0e6,
            burst: 1.0e6,
            concurrency: 100_000,
        },
        ..DeploymentShape::tiny(name)
    }
}

// ---------------------------------------------------------------- delay

async fn added_delay() -> anyhow::Result<()> {
    let mut deployment = Deployment::start(shape("delay"), ProgramSet::itself()?).await?;
    let rates = EngineRates {
        prefill_micros: 0,
        decode_micros: 20_000,
        threads: 2,
    };
    let engine = ChildEngine::start(rates, deployment.folder(), "engine").await?;
    deployment.add_external_engine(0, engine.address).await?;
    deployment.wait_settled().await?;
    let entry = deployment.entry_places[0].callers;
    let key = deployment.shape.key(&deployment.shape.organisation(1));
    let mut direct = histogram()?;
    let mut through = histogram()?;
    for _ in 0..3 {
        direct.add(first_tokens(engine.address, "").await?)?;
        through.add(first_tokens(entry, &key).await?)?;
    }
    let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    let added = |q: f64| at(&through, q) - at(&direct, q);
    let each = |q: f64| {
        format!(
            "{:.2} ms ({:.2} - {:.2})",
            added(q),
            at(&through, q),
            at(&direct, q)
        )
    };
    row(
        "time to first token, through less direct, median, 500 streams",
        each(0.5),
        "1 ms",
    );
    row("the same, p99", each(0.99), "3 ms");
    Ok(())
}

fn histogram() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new(3)?)
}

async fn first_tokens(
    address: SocketAddr,
    key: &str,
) -> anyhow::Result<Histogram<u64>> {
    let client = CallerClient::default();
    let mut tasks = Vec::new();
    for number in 0..STREAMS {
        let client = client.clone();
        let call = prompt(address, key, 40);
        tasks.push(spawn(async move {
            // The streams begin spread over the time that one of them takes.
            Timer::after(Duration::from_micros(1_600 * number as u64)).await;
            let mut spans = Vec::new();
            for _ in 0..4 {
                let outcome = client.chat(&call).await;
                spans.push((outcome.whole, outcome.first_token));
            }
            spans
        }));
    }
    let mut histogram = histogram()?;
    for task in tasks {
        for (whole, span) in task.await {
            anyhow::ensure!(whole, "a stream was not whole");
            histogram.record(span.as_micros() as u64)?;
        }
    }
    Ok(histogram)
}

fn prompt(
    address: SocketAddr,
    key: &str,
    tokens: u32,
) -> PromptCall {
    PromptCall {
        address,
        key: key.to_string(),
        model: "assistant".to_string(),
        text: "what came in today?".to_string(),
        answer_tokens: tokens,
        stream: true,
        label: String::new(),
        headers: Vec::new(),
    }
}

// ---------------------------------------------------------------- throughput

async fn short_requests() -> anyhow::Result<()> {
    const AGENTS: usize = 2;
    const CALLERS: usize = 64;
    let span = Duration::from_secs(6);
    let mut deployment = Deployment::start(shape("short"), ProgramSet::itself()?).await?;
    let mut engines = Vec::new();
    for number in 0..AGENTS {
        let rates = EngineRates {
            prefill_micros: 0,
            decode_micros: 0,
            threads: 1,
        };
        let name = format!("engine-{number}");
        let engine = ChildEngine::start(rates, deployment.folder(), &name).await?;
        deployment
            .add_external_service(number, engine.address)
            .await?;
        engines.push(engine);
    }
    deployment.wait_settled().await?;
    let url = format!(
        "http://{}/engine/health",
        deployment.entry_places[0].callers
    );
    let key = deployment.shape.key(&deployment.shape.organisation(1));
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicU64::new(0));
    let wrong = Arc::new(AtomicU64::new(0));
    let client = CallerClient::default();
    let mut tasks = Vec::new();
    for _ in 0..CALLERS {
        let (stop, done, wrong) = (stop.clone(), done.clone(), wrong.clone());
        let (client, url, key) = (client.clone(), url.clone(), key.clone());
        tasks.push(spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                let outcome = client.plain("GET", &url, &key, &[], String::new()).await;
                let counter = if outcome.status == 200 { &done } else { &wrong };
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    Timer::after(Duration::from_secs(1)).await;
    let entry = deployment.entries[0].as_ref().context("no entry")?;
    let before = entry.usage();
    let began = (done.load(Ordering::Relaxed), Instant::now());
    Timer::after(span).await;
    let rate = (done.load(Ordering::Relaxed) - began.0) as f64 / began.1.elapsed().as_secs_f64();
    let cores = (entry.usage().cpu_seconds - before.cpu_seconds) / began.1.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await;
    }
    let failed = wrong.load(Ordering::Relaxed);
    let text = format!("{rate:.0}/s on {cores:.2} cores ({failed} not answered)");
    row(
        "short requests through one entry process",
        text,
        "5,000/s on 2 cores",
    );
    Ok(())
}

async fn streamed_tokens() -> anyhow::Result<()> {
    const AGENTS: usize = 4;
    const TOKENS: u32 = 1_600;
    let mut deployment = Deployment::start(shape("tokens"), ProgramSet::itself()?).await?;
    let mut engines = Vec::new();
    for number in 0..AGENTS {
        let rates = EngineRates {
            prefill_micros: 0,
            decode_micros: 3_500,
            threads: 1,
        };
        let name = format!("engine-{number}");
        let engine = ChildEngine::start(rates, deployment.folder(), &name).await?;
        deployment
            .add_external_engine(number, engine.address)
            .await?;
        engines.push(engine);
    }
    deployment.wait_settled().await?;
    let entry = deployment.entry_places[0].callers;
    let key = deployment.shape.key(&deployment.shape.organisation(1));
    let client = CallerClient::default();
    let process = deployment.entries[0].as_ref().context("no entry")?;
    let before = process.usage();
    let started = Instant::now();
    let tasks: Vec<_> = (0..STREAMS)
        .map(|_| {
            let client = client.clone();
            let call = prompt(entry, &key, TOKENS);
            spawn(async move { client.chat(&call).await.whole })
        })
        .collect();
    let mut whole = 0;
    for task in tasks {
        whole += u64::from(task.await);
    }
    let span = started.elapsed().as_secs_f64();
    let rate = (whole * u64::from(TOKENS)) as f64 / span;
    let cores = (process.usage().cpu_seconds - before.cpu_seconds) / span;
    let text = format!("{rate:.0}/s on {cores:.2} cores ({whole} of {STREAMS} streams whole)");
    row(
        "streamed tokens through one entry process",
        text,
        "100,000/s on 2 cores",
    );
    Ok(())
}

// ---------------------------------------------------------------- at most once

/// What an idempotency key costs: delay, and writes of the table.
async fn at_most_once() -> anyhow::Result<()> {
    const CALLS: usize = 400;
    let shape = DeploymentShape {
        services: 2,
        service_prefix: "/orders".to_string(),
        health_path: "/healthz".to_string(),
        ..shape("once")
    };
    let deployment = Deployment::start(shape, ProgramSet::itself()?).await?;
    for callers in [1, 50] {
        let before = deployment.platform.state.table.calls().writes;
        let plain = order_delays(&deployment, callers, CALLS, false).await?;
        let between = deployment.platform.state.table.calls().writes;
        let keyed = order_delays(&deployment, callers, CALLS, true).await?;
        let after = deployment.platform.state.table.calls().writes;
        // Leases are renewed meanwhile; what the calls without key saw is taken off.
        let writes = (after - between).saturating_sub(between - before);
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
        let text = format!(
            "median {:.1} ms against {:.1}, p99 {:.1} against {:.1}; {:.2} writes a request",
            ms(&keyed, 0.5),
            ms(&plain, 0.5),
            ms(&keyed, 0.99),
            ms(&plain, 0.99),
            writes as f64 / CALLS as f64
        );
        row(
            &format!("order with idempotency key, {callers} callers"),
            text,
            "",
        );
    }
    Ok(())
}

async fn order_delays(
    deployment: &Deployment,
    callers: usize,
    calls: usize,
    keyed: bool,
) -> anyhow::Result<Histogram<u64>> {
    let url = deployment.url(0, "/orders/place");
    let key = deployment.first_key();
    let mut tasks = Vec::new();
    for caller in 0..callers {
        let (url, key) = (url.clone(), key.clone());
        tasks.push(spawn(async move {
            let client = CallerClient::default();
            let mut spans = Vec::new();
            for call in 0..calls / callers {
                let body = format!("{caller}-{call}-of-{callers}");
                let header = CallHeader {
                    name: if keyed { "idempotency-key" } else { "x-plain" },
                    value: body.clone(),
                };
                let outcome = client.plain("POST", &url, &key, &[header], body).await;
                spans.push((outcome.status, outcome.total));
            }
            spans
        }));
    }
    let mut histogram = histogram()?;
    for task in tasks {
        for (status, span) in task.await {
            anyhow::ensure!(status == 200, "an order was answered {status}");
            histogram.record(span.as_micros() as u64)?;
        }
    }
    Ok(histogram)
}

// ---------------------------------------------------------------- memory

async fn memory_and_idle() -> anyhow::Result<()> {
    const AGENTS: usize = 1_000;
    const PROMPTS: usize = 20_000;
    const PIECES: usize = 14;
    let deployment = Deployment::start(shape("memory"), ProgramSet::itself()?).await?;
    let _fakes = FakeAgents::start(FakeShape {
        agents: AGENTS,
        prompts_each: PROMPTS / AGENTS,
        pieces_each: PIECES,
        model: "assistant".to_string(),
        version: "v1".to_string(),
        homes: deployment.entry_places.iter().map(|p| p.beacons).collect(),
        secret: SECRET.to_string(),
    })
    .await?;
    let report = deployment
        .wait_status(0, "all fake agents", |report| {
            let alive = report.endpoints.iter().filter(|e| e.alive).count();
            alive == AGENTS && report.prompts >= PROMPTS
        })
        .await?;
    let process = deployment.entries[0].as_ref().context("no entry")?;
    // What the start has left to do must be over: idle means idle.
    Timer::after(Duration::from_secs(6)).await;
    let before = process.usage();
    let started = Instant::now();
    Timer::after(Duration::from_secs(20)).await;
    let after = process.usage();
    let core = (after.cpu_seconds - before.cpu_seconds) / started.elapsed().as_secs_f64();
    let memory = after.resident_bytes as f64 / MEBIBYTE;
    let what = format!(
        "with {AGENTS} endpoints, {} prompts, {} pieces",
        report.prompts, report.pieces
    );
    row(
        &format!("resident memory {what}"),
        format!("{memory:.1} MiB"),
        "64 MB",
    );
    row(
        "idle, the same",
        format!("{:.2}% of a core", core * 100.0),
        "1%",
    );
    Ok(())
}

// ---------------------------------------------------------------- decision

fn route_cost() {
    const ROUNDS: usize = 2_000;
    for endpoints in [10, 100, 1_000, 10_000] {
        let table = route_table(endpoints);
        let target = WorkTarget::Model("assistant".to_string());
        let text: Vec<u8> = (0..28_000).map(|n| (n % 251) as u8).collect();
        let pieces = prefix_chain("org", "v1", &text);
        let mut spans = Vec::with_capacity(ROUNDS);
        let mut chosen = 0;
        for round in 0..ROUNDS {
            let request = RouteRequest {
                organisation: "org",
                target: &target,
                version: "v1",
                pieces: &pieces,
                input_tokens: 7_000,
                weights: CostWeights::default(),
                token_bytes: 128,
                excluded: &[],
                now: Micros::ZERO,
                seed: round as u64,
            };
            let started = Instant::now();
            let choice = table.choose(&request, |_| SentLoad::default());
            spans.push(started.elapsed());
            chosen += usize::from(choice.is_ok());
        }
        assert_eq!(chosen, ROUNDS);
        spans.sort();
        let wanted = if endpoints == 1_000 { "20 us" } else { "" };
        let median = spans[ROUNDS / 2].as_secs_f64() * 1e6;
        let text = format!("{median:.1} us");
        row(
            &format!("one routing decision, {endpoints} endpoints, median"),
            text,
            wanted,
        );
    }
}

fn route_table(endpoints: usize) -> RouteTable {
    let mut config = FleetConfig {
        revision: 1,
        ..FleetConfig::default()
    };
    config
        .organisations
        .insert("org".to_string(), OrganisationConf::default());
    let versions = [("v1".to_string(), VersionConf::default())];
    let model = ModelConf {
        active: "v1".to_string(),
        versions: versions.into_iter().collect(),
        token_bytes: 128,
    };
    config.models.insert("assistant".to_string(), model);
    let mut arena = EndpointArena::default();
    let mut loads = SecondaryMap::new();
    let mut table = RouteTable::default();
    let text: Vec<u8> = (0..28_000).map(|n| (n % 251) as u8).collect();
    let pieces = prefix_chain("org", "v1", &text);
    for number in 0..endpoints {
        let key = arena.insert(Arc::new(EndpointState {
            id: format!("engine-{number}"),
            kind: EndpointKind::Engine {
                model: "assistant".to_string(),
                version: "v1".to_string(),
            },
            group: format!("group-{}", number / 16),
            labels: LabelSet::default(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            incarnation: 1,
            leaving: false,
        }));
        let report = LoadReport {
            pending_tokens: number as u64 * 37 % 5_000,
            running: 3,
            slots: 16,
            token_cost: 20.0,
            service_time: 100_000.0,
            healthy: true,
        };
        let load = EndpointLoad {
            report,
            alive: true,
            penalty: 1.0,
            ..EndpointLoad::default()
        };
        loads.insert(key, load);
        // A few of them hold the prompt.
        if number % (endpoints / 5).max(1) == 0 {
            for piece in &pieces {
                table.pieces.add(*piece, PieceHolder::Endpoint(key));
            }
        }
    }
    table.pools = Arc::new(PoolIndex::build(&config, &arena));
    table.config = Arc::new(config);
    table.endpoints = Arc::new(arena);
    table.loads = loads;
    table
}
