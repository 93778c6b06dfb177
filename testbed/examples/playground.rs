//! Starts a small deployment that uses stand-ins, prints its key, address and
//! settings file, and serves until it is stopped or, with an argument, for that many
//! seconds.

use {
    pitchhitch_process::{start_traffic_threads, SignalListener},
    pitchhitch_testbed::deploy::{Deployment, DeploymentShape, ProgramSet},
    smol::Timer,
    std::time::Duration,
};

const THREADS: usize = 2;
const SECONDS_PER_DAY: u64 = 86_400;

fn main() -> anyhow::Result<()> {
    ProgramSet::run_role();
    start_traffic_threads(THREADS);
    let seconds = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(SECONDS_PER_DAY);
    smol::block_on(async {
        let deployment = Deployment::start(
            DeploymentShape::tiny("playground"),
            ProgramSet::current_exe()?,
        )
        .await?;
        println!("KEY={}", deployment.first_key());
        println!("ADDRESS={}", deployment.entry_boxes[0].callers);
        println!(
            "SETTINGS={}",
            deployment.folder().join("operator.json").display()
        );
        println!("serving model 'assistant' and service '/orders'; stop it with Ctrl-C");
        let mut signals = SignalListener::start()?;
        let stopped = async {
            let _ = signals.next().await;
        };
        let timed_out = async {
            Timer::after(Duration::from_secs(seconds)).await;
        };
        futures_lite::future::or(stopped, timed_out).await;
        Ok(())
    })
}
