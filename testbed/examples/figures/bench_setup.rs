//! Deployment and requests for the measurements, and the rows of the table.

use {
    hdrhistogram::Histogram,
    pitchhitch_core::conf::OrganisationLimits,
    pitchhitch_testbed::{
        deploy::{ChildEngine, Deployment, DeploymentShape, EngineRates},
        replay::ChatRequest,
    },
    std::net::SocketAddr,
};

pub const MEBIBYTE: f64 = 1024.0 * 1024.0;

pub fn print_row(
    figure: &str,
    measured: String,
    goal: &str,
) {
    println!("| {figure} | {measured} | {goal} |");
}

pub fn bench_shape(name: &str) -> DeploymentShape {
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

pub fn chat_request(
    address: SocketAddr,
    key: &str,
    tokens: u32,
) -> ChatRequest {
    ChatRequest {
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

pub fn new_histogram() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new(3)?)
}

/// Starts an engine in its own process, with one thread and no prefill time.
pub async fn child_engine(
    deployment: &Deployment,
    number: usize,
    decode_micros: u64,
) -> anyhow::Result<ChildEngine> {
    let rates = EngineRates {
        prefill_micros: 0,
        decode_micros,
        threads: 1,
    };
    let name = format!("engine-{number}");
    ChildEngine::start(rates, deployment.folder(), &name).await
}
