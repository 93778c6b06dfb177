//! Benchmarks one entry process (added latency, throughput, memory, idle CPU) and a
//! routing decision. Prints a table of measured and target figures; an argument
//! selects one benchmark.

mod bench_setup;
mod delay_figures;
mod load_figures;
mod route_figures;

use {
    crate::{
        delay_figures::{added_delay, at_most_once},
        load_figures::{memory_and_idle, short_requests, streamed_tokens},
        route_figures::route_cost,
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
            route_cost();
        }
        if is_selected("delay") {
            added_delay().await?;
        }
        if is_selected("short") {
            short_requests().await?;
        }
        if is_selected("tokens") {
            streamed_tokens().await?;
        }
        if is_selected("once") {
            at_most_once().await?;
        }
        if is_selected("memory") {
            memory_and_idle().await?;
        }
        anyhow::Ok(())
    })
}
