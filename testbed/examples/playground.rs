//! Starts a small deployment over stand-ins, prints how to ask it something, and
//! serves until it is stopped or for as many seconds as its argument says.

use {
    pitchhitch_process::{start_traffic_threads, wait_for_stop},
    pitchhitch_testbed::deploy::{Deployment, DeploymentShape, ProgramSet},
    smol::Timer,
    std::time::Duration,
};

const THREADS: usize = 2;
const A_DAY: u64 = 86_400;

fn main() -> anyhow::Result<()> {
    ProgramSet::play_role();
    start_traffic_threads(THREADS);
    let seconds = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(A_DAY);
    smol::block_on(async {
        let deployment =
            Deployment::start(DeploymentShape::tiny("playground"), ProgramSet::itself()?).await?;
        println!("KEY={}", deployment.first_key());
        println!("ADDRESS={}", deployment.entry_places[0].callers);
        println!(
            "SETTINGS={}",
            deployment.folder().join("operator.json").display()
        );
        println!("serving model 'assistant' and service '/orders'; stop it with Ctrl-C");
        let stopped = async {
            let _ = wait_for_stop().await;
        };
        let over = async {
            Timer::after(Duration::from_secs(seconds)).await;
        };
        futures_lite::future::or(stopped, over).await;
        Ok(())
    })
}
