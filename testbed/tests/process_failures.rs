//! Agents, engines and store boxes die, freeze or are cut off under load.

use {
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape, EndpointStandIn, ProcessSignal},
        engine::FakeEngine,
        replay::{expected_response, CallerClient, StreamSet},
    },
    smol::{block_on, Timer},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

const TOKENS: u32 = 300;
/// Streams that all choose one of two idle engines by chance: none in our lifetime.
const MAX_STREAMS: usize = 32;

async fn start(name: &str) -> Deployment {
    Deployment::for_test(DeploymentShape::streaming(name)).await
}

/// Starts so many streams, and more until both engines work on some: idle engines are
/// told apart by chance, so that a few streams that start at once may all be at one.
async fn start_streams(
    deployment: &Deployment,
    count: usize,
) -> StreamSet {
    let mut streams = StreamSet::start(deployment, count, TOKENS);
    let running = |e: &FakeEngine| e.core.running.load(Ordering::Relaxed) > 0;
    loop {
        wait_all_started(deployment, &streams).await;
        if deployment.engines().all(running) {
            return streams;
        }
        assert!(streams.count() < MAX_STREAMS, "all are at one engine");
        streams.add(deployment);
    }
}

/// Waits until all are at an engine: a caller that is gone before has nothing to cancel.
async fn wait_all_started(
    deployment: &Deployment,
    streams: &StreamSet,
) {
    let started = || sum_engines(deployment, |e| &e.core.counts.started);
    deployment
        .wait_until("all to run", || started() == streams.count() as u64)
        .await;
}

/// Kills the agent of the first endpoint.
fn kill_agent(deployment: &mut Deployment) {
    let agent = deployment.endpoints[0].agent.as_mut();
    agent.expect("agent").kill();
}

#[test]
fn killed_agent_streams_resume() {
    block_on(async {
        let mut deployment = start("kill").await;
        let streams = start_streams(&deployment, 8).await;
        kill_agent(&mut deployment);
        streams.assert_all_complete().await;
    });
}

/// The deadline is for the beginning: what began in time is brought to its end.
#[test]
fn late_break_resumes() {
    const DEADLINE_MS: u64 = 1_000;
    block_on(async {
        let mut shape = DeploymentShape::streaming("late");
        shape.default_deadline_ms = DEADLINE_MS;
        let mut deployment = Deployment::for_test(shape).await;
        let streams = start_streams(&deployment, 8).await;
        // The trouble comes when the deadline of all of them has passed.
        Timer::after(Duration::from_millis(DEADLINE_MS)).await;
        kill_agent(&mut deployment);
        streams.assert_all_complete().await;
    });
}

#[test]
fn frozen_agent_streams_resume() {
    block_on(async {
        let deployment = start("freeze").await;
        let streams = start_streams(&deployment, 8).await;
        deployment.endpoints[0]
            .agent
            .as_ref()
            .expect("agent")
            .signal(ProcessSignal::Stop);
        streams.assert_all_complete().await;
        // A request that comes now is not sent there, or not left there.
        let client = CallerClient::default();
        let response = client.chat(&deployment.chat_request(0, "after", 5)).await;
        assert_eq!(response.text, expected_response("after", "v1", 5));
    });
}

#[test]
fn dead_engine_streams_resume() {
    block_on(async {
        let mut deployment = start("engine").await;
        deployment
            .add_engine(2, true)
            .await
            .expect("engine behind a proxy");
        deployment.wait_ready().await.expect("settled");
        let streams = StreamSet::start(&deployment, 40, TOKENS);
        let endpoint = deployment
            .endpoints
            .iter()
            .find(|e| e.proxy.is_some())
            .expect("place");
        let EndpointStandIn::Engine(engine) = &endpoint.stand_in else {
            panic!("an engine stands behind the proxy");
        };
        let running = || engine.core.running.load(Ordering::Relaxed) > 1;
        deployment
            .wait_until("streams on the engine", running)
            .await;
        // In the middle of an event, some bytes after the next.
        endpoint.proxy.as_ref().expect("proxy").cut_after(777);
        streams.assert_all_complete().await;
    });
}

#[test]
fn gone_caller_cancels() {
    block_on(async {
        let deployment = start("gone").await;
        let streams = start_streams(&deployment, 4).await;
        let count = streams.count() as u64;
        drop(streams);
        deployment
            .wait_until("the engines to stop", || {
                sum_engines(&deployment, |e| &e.core.counts.cancelled) == count
            })
            .await;
        // None of them was taken up again elsewhere.
        assert_eq!(sum_engines(&deployment, |e| &e.core.counts.started), count);
    });
}

/// A count over all engines of a deployment.
fn sum_engines(
    deployment: &Deployment,
    count: impl Fn(&FakeEngine) -> &AtomicU64,
) -> u64 {
    deployment
        .engines()
        .map(|e| count(e).load(Ordering::Relaxed))
        .sum()
}

#[test]
fn emptied_store_costs_time_only() {
    block_on(async {
        let deployment = start("store").await;
        let client = CallerClient::default();
        let text = "a long parcel file ".repeat(1_000);
        assert!(client.chat(&deployment.chat_request(0, &text, 2)).await.is_complete);
        deployment
            .wait_until("exports", || deployment.store.piece_count() >= 9)
            .await;
        for engine in deployment.engines() {
            engine.core.cache().clear();
        }
        deployment.store.clear();
        let again = client.chat(&deployment.chat_request(0, &text, 2)).await;
        assert_eq!(again.text, expected_response(&text, "v1", 2));
    });
}
