//! Throughput, memory and idle CPU time of an entry process.

use {
    crate::bench_setup::{bench_shape, chat_request, child_engine, print_row, MEBIBYTE},
    anyhow::Context,
    pitchhitch_process::spawn,
    pitchhitch_testbed::{
        deploy::{Deployment, FakeAgents, FakeAgentsShape, ProgramSet},
        replay::CallerClient,
    },
    smol::Timer,
    std::{
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
};

pub const STREAMS: usize = 500;

pub const SECRET: &str = "secret of the testbed";

pub async fn measure_short_requests() -> anyhow::Result<()> {
    const AGENTS: usize = 2;
    const CALLERS: usize = 64;
    let span = Duration::from_secs(6);
    let mut deployment =
        Deployment::start(bench_shape("short"), ProgramSet::current_exe()?).await?;
    let mut engines = Vec::new();
    for number in 0..AGENTS {
        let engine = child_engine(&deployment, number, 0).await?;
        deployment
            .add_external_service(number, engine.address)
            .await?;
        engines.push(engine);
    }
    deployment.wait_ready().await?;
    let url = format!("http://{}/engine/health", deployment.entry_boxes[0].callers);
    let key = deployment
        .shape
        .api_key(&deployment.shape.organisation_name(1));
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
                let response = client
                    .send_request("GET", &url, &key, &[], String::new())
                    .await;
                let counter = if response.status == 200 {
                    &done
                } else {
                    &wrong
                };
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    Timer::after(Duration::from_secs(1)).await;
    let entry = deployment.entries[0].as_ref().context("no entry process")?;
    let before = entry.usage();
    let window_start = (done.load(Ordering::Relaxed), Instant::now());
    Timer::after(span).await;
    let rate = (done.load(Ordering::Relaxed) - window_start.0) as f64
        / window_start.1.elapsed().as_secs_f64();
    let cores =
        (entry.usage().cpu_seconds - before.cpu_seconds) / window_start.1.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await;
    }
    let failed = wrong.load(Ordering::Relaxed);
    let text = format!("{rate:.0}/s on {cores:.2} cores ({failed} not answered)");
    print_row(
        "short requests through one entry process",
        text,
        "5,000/s on 2 cores",
    );
    Ok(())
}

pub async fn measure_streamed_tokens() -> anyhow::Result<()> {
    const AGENTS: usize = 4;
    const TOKENS: u32 = 1_600;
    let mut deployment =
        Deployment::start(bench_shape("tokens"), ProgramSet::current_exe()?).await?;
    let mut engines = Vec::new();
    for number in 0..AGENTS {
        let engine = child_engine(&deployment, number, 3_500).await?;
        deployment
            .add_external_engine(number, engine.address)
            .await?;
        engines.push(engine);
    }
    deployment.wait_ready().await?;
    let entry = deployment.entry_boxes[0].callers;
    let key = deployment
        .shape
        .api_key(&deployment.shape.organisation_name(1));
    let client = CallerClient::default();
    let process = deployment.entries[0].as_ref().context("no entry process")?;
    let before = process.usage();
    let started = Instant::now();
    let tasks: Vec<_> = (0..STREAMS)
        .map(|_| {
            let client = client.clone();
            let request = chat_request(entry, &key, TOKENS);
            spawn(async move { client.chat(&request).await.is_complete })
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
    print_row(
        "streamed tokens through one entry process",
        text,
        "100,000/s on 2 cores",
    );
    Ok(())
}

pub async fn measure_memory_and_idle() -> anyhow::Result<()> {
    const AGENTS: usize = 1_000;
    const PROMPTS: usize = 20_000;
    const PIECES: usize = 14;
    let deployment = Deployment::start(bench_shape("memory"), ProgramSet::current_exe()?).await?;
    let _fakes = FakeAgents::start(FakeAgentsShape {
        agents: AGENTS,
        prompts_each: PROMPTS / AGENTS,
        pieces_each: PIECES,
        model: "assistant".to_string(),
        version: "v1".to_string(),
        beacon_targets: deployment.entry_boxes.iter().map(|p| p.beacons).collect(),
        secret: SECRET.to_string(),
    })
    .await?;
    let report = deployment
        .wait_status(0, "all fake agents", |report| {
            let alive = report.endpoints.iter().filter(|e| e.alive).count();
            alive == AGENTS && report.prompts >= PROMPTS
        })
        .await?;
    let process = deployment.entries[0].as_ref().context("no entry process")?;
    // Waits for the work of the start to finish, so that the process is idle.
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
    print_row(
        &format!("resident memory {what}"),
        format!("{memory:.1} MiB"),
        "64 MB",
    );
    print_row(
        "idle, the same",
        format!("{:.2}% of a core", core * 100.0),
        "1%",
    );
    Ok(())
}
