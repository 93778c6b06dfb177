//! Runs two scaled-down deployments on loopback, as processes of the real binaries
//! that use stand-ins. The traces are replayed with round robin and with the routing
//! of pitchhitch, while an operator moves organisations to another site by label and
//! drains an endpoint. Prints a table of metrics; the exit code is non-zero if a
//! response was wrong or lost or a request ran twice.

use {
    anyhow::{bail, Context},
    futures_lite::future,
    pitchhitch_core::route::RoutePolicy,
    pitchhitch_process::{start_logging, start_traffic_threads},
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape, ProcessSignal, ProgramSet, WAIT_TIMEOUT},
        replay::{ReplayProgress, RunMetrics, TraceReplay},
        trace::{read_trace, TraceRow},
    },
    smol::Timer,
    std::{
        path::Path,
        process::ExitCode,
        time::{Duration, Instant},
    },
};

/// Duration of the replay of one trace.
const REPLAY_DURATION: Duration = Duration::from_secs(20);
const THREADS: usize = 4;
const MEBIBYTE: f64 = 1024.0 * 1024.0;

fn main() -> ExitCode {
    ProgramSet::run_role();
    std::env::set_var(
        "PITCHHITCH_LOG",
        std::env::var("PITCHHITCH_LOG").unwrap_or("error".to_string()),
    );
    start_logging();
    start_traffic_threads(THREADS);
    match smol::block_on(run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("demo: a response was wrong or lost, or a request ran twice");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

struct DemoRow {
    deployment: &'static str,
    policy: &'static str,
    metrics: RunMetrics,
}

async fn run() -> anyhow::Result<bool> {
    let mut rows = Vec::new();
    for policy in [RoutePolicy::RoundRobin, RoutePolicy::Estimate] {
        let mvinyo = run_deployment("mvinyo", DeploymentShape::mvinyo(policy), "mvinyo.jsonl");
        let field = run_deployment(
            "field",
            DeploymentShape::field_boundary(policy),
            "field-boundary.jsonl",
        );
        let (mvinyo, field) = future::zip(mvinyo, field).await;
        rows.push(mvinyo?);
        rows.push(field?);
    }
    // The sort is stable, so round robin stays before pitchhitch.
    rows.sort_by_key(|row| row.deployment);
    print_table(&rows);
    Ok(rows.iter().all(|row| row.metrics.passed()))
}

async fn run_deployment(
    name: &'static str,
    shape: DeploymentShape,
    trace: &str,
) -> anyhow::Result<DemoRow> {
    let policy = match shape.policy {
        RoutePolicy::RoundRobin => "round robin",
        _ => "pitchhitch",
    };
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("traces")
        .join(trace);
    let rows = read_trace(&path)?;
    let started = Instant::now();
    let mut deployment = Deployment::start(shape.clone(), ProgramSet::current_exe()?).await?;
    label_sites(&deployment).await?;
    print_status(
        name,
        policy,
        &format!(
            "{} processes up after {:?}",
            process_count(&shape),
            started.elapsed()
        ),
    );
    let replay = TraceReplay {
        entries: deployment.entry_boxes.iter().map(|p| p.callers).collect(),
        speedup: speedup(&rows),
        versions: vec![shape.version.clone()],
        shape,
    };
    let progress = ReplayProgress::default();
    let replaying = replay.run(&rows, &progress);
    let operations = run_operations(name, policy, &mut deployment, &progress, rows.len());
    let (result, operations_result) = future::zip(replaying, operations).await;
    operations_result?;
    let metrics = RunMetrics::collect(&deployment, &rows, result);
    if let Some(problem) = &metrics.result.first_problem {
        print_status(name, policy, &format!("first problem: {problem}"));
    }
    Ok(DemoRow {
        deployment: name,
        policy,
        metrics,
    })
}

fn speedup(rows: &[TraceRow]) -> f64 {
    let last = rows.last().map_or(1, |row| row.timestamp.max(1));
    last as f64 / REPLAY_DURATION.as_millis() as f64
}

fn process_count(shape: &DeploymentShape) -> usize {
    shape.entries + shape.engines + shape.services
}

fn print_status(
    name: &str,
    policy: &str,
    text: &str,
) {
    println!("[{name}, {policy}] {text}");
}

/// Routes requests labelled with a site to the endpoints of that site, and labels
/// every third organisation for site b.
async fn label_sites(deployment: &Deployment) -> anyhow::Result<()> {
    for site in ["a", "b"] {
        let work = format!("site={site}");
        let name = format!("site-{site}");
        run_command(
            deployment,
            &["select", &name, "--work", &work, "--endpoints", &work],
        )
        .await?;
    }
    for number in 1..=deployment.shape.organisations {
        let site = if number % 3 == 0 { "site=b" } else { "site=a" };
        let target = format!(
            "organisation/{}",
            deployment.shape.organisation_name(number)
        );
        run_command(deployment, &["label", &target, site]).await?;
    }
    Ok(())
}

/// Runs the operator commands during the replay.
async fn run_operations(
    name: &str,
    policy: &str,
    deployment: &mut Deployment,
    progress: &ReplayProgress,
    total: usize,
) -> anyhow::Result<()> {
    Timer::after(REPLAY_DURATION.mul_f64(0.3)).await;
    print_status(
        name,
        policy,
        &format!("{} of {total} requests done", progress.completed()),
    );
    for number in [2, 4] {
        let target = format!(
            "organisation/{}",
            deployment.shape.organisation_name(number)
        );
        let output = run_command(deployment, &["label", &target, "site=b"]).await?;
        print_status(name, policy, &format!("{target} moves to site b: {output}"));
    }
    Timer::after(REPLAY_DURATION.mul_f64(0.25)).await;
    print_status(
        name,
        policy,
        &format!("{} of {total} requests done", progress.completed()),
    );
    let engine = deployment.endpoints[0].id.clone();
    let started = Instant::now();
    let output = run_command(deployment, &["drain", &engine]).await?;
    let last = output.lines().last().unwrap_or_default().to_string();
    print_status(
        name,
        policy,
        &format!("{last} (after {:?})", started.elapsed()),
    );
    stop_agent(deployment, 0).await?;
    print_status(name, policy, &format!("{engine}: its agent has stopped"));
    Ok(())
}

async fn stop_agent(
    deployment: &mut Deployment,
    index: usize,
) -> anyhow::Result<()> {
    let agent = deployment.endpoints[index].agent.take();
    let mut agent = agent.context("the agent is not running")?;
    agent.signal(ProcessSignal::Term);
    let status = agent.wait(WAIT_TIMEOUT).await?;
    if !status.success() {
        bail!("an agent exited with {status}");
    }
    Ok(())
}

async fn run_command(
    deployment: &Deployment,
    args: &[&str],
) -> anyhow::Result<String> {
    let output = deployment.run_command(args).await?;
    if !output.status.success() {
        bail!(
            "pitchhitch {args:?}: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
    Ok(String::from_utf8_lossy(&output.stdout).trim().to_string())
}

fn print_table(rows: &[DemoRow]) {
    println!();
    println!(
        "{:<8} {:<12} {:>8} {:>8} {:>8} {:>11} {:>9} {:>6} {:>6} {:>5} {:>8} {:>8} {:>6} {:>6}",
        "site of",
        "decisions",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "recomputed",
        "link MiB",
        "right",
        "wrong",
        "lost",
        "not run",
        "unknown",
        "twice",
        "writes"
    );
    for row in rows {
        let metrics = &row.metrics;
        let result = &metrics.result;
        println!(
            "{:<8} {:<12} {:>8.1} {:>8.1} {:>8.1} {:>10.1}% {:>9.1} {:>6} {:>6} {:>5} {:>8} {:>8} {:>6} {:>6}",
            row.deployment,
            row.policy,
            result.first_token_ms(0.5),
            result.first_token_ms(0.95),
            result.first_token_ms(0.99),
            metrics.recomputed_percent(),
            metrics.link_bytes as f64 / MEBIBYTE,
            result.correct,
            result.wrong,
            result.lost,
            result.not_run,
            result.unknown,
            metrics.ran_twice,
            metrics.table_writes,
        );
    }
    for pair in rows.chunks(2) {
        if let [baseline, ours] = pair {
            let ours_result = &ours.metrics.result;
            let base_result = &baseline.metrics.result;
            println!(
                "{}: p95 {:.2} of round robin, recomputed {:.2} of round robin",
                ours.deployment,
                ours_result.first_token_ms(0.95) / base_result.first_token_ms(0.95),
                ours.metrics.recomputed_percent() / baseline.metrics.recomputed_percent(),
            );
        }
    }
}
