//! Benchmarks one entry process (added latency, throughput, memory, idle CPU) and a
//! routing decision. Prints a table of measured and target figures; an argument
//! selects one benchmark.

mod bench_setup;
mod delay_figures;
mod load_figures;
mod route_figures;

use {
    crate::{
        delay_figures::{measure_added_latency, measure_idempotency},
        load_figures::{measure_memory_and_idle, measure_short_requests, measure_streamed_tokens},
        route_figures::measure_routing,
    },
    pitchhitch_process::{start_logging, start_traffic_threads},
    pitchhitch_testbed::deploy::{ChildEngine, ProgramSet},
};

const THREADS: usize = 4;

fn main() -> anyhow::Result<()> {
    ProgramSet::run_role();
    ChildEngine::run_role();
    std::env::set_var("PITCHHITCH_LOG", "error");
    start_logging();
    start_traffic_threads(THREADS);
    let only = std::env::args().nth(1);
    let is_selected = |name: &str| only.as_deref().is_none_or(|o| o == name);
    println!("| figure | measured | wanted |\n|---|---|---|");
    smol::block_on(async {
        if is_selected("route") {
            measure_routing();
        }
        if is_selected("delay") {
            measure_added_latency().await?;
        }
        if is_selected("short") {
            measure_short_requests().await?;
        }
        if is_selected("tokens") {
            measure_streamed_tokens().await?;
        }
        if is_selected("once") {
            measure_idempotency().await?;
        }
        if is_selected("memory") {
            measure_memory_and_idle().await?;
        }
        anyhow::Ok(())
    })
}
