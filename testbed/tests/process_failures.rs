//! Agents, engines and store boxes crash, pause or lose connections under load.

use {
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape, EndpointStandIn, ProcessSignal},
        engine::FakeEngine,
        proxy::{FaultProxy, ProxyMode},
        replay::{expected_response, CallerClient, StreamSet},
    },
    smol::{block_on, Timer},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

const TOKENS: u32 = 300;
/// So many streams do not all choose the same of two idle engines by chance.
const MAX_STREAMS: usize = 32;

async fn start(name: &str) -> Deployment {
    Deployment::for_test(DeploymentShape::streaming(name)).await
}

/// Starts `count` streams, and more until each engine runs some: the choice between
/// idle engines is random, so a few concurrent streams may all get the same engine.
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
        assert!(
            streams.count() < MAX_STREAMS,
            "all streams are at one engine"
        );
        streams.add(deployment);
    }
}

/// Waits until all streams have started at an engine: if a caller disconnects before,
/// there is nothing to cancel.
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

/// The deadline applies to the start of a response: a stream that started in time is
/// resumed after it.
#[test]
fn late_break_resumes() {
    const DEADLINE_MS: u64 = 1_000;
    block_on(async {
        let mut shape = DeploymentShape::streaming("late");
        shape.default_deadline_ms = DEADLINE_MS;
        let mut deployment = Deployment::for_test(shape).await;
        let streams = start_streams(&deployment, 8).await;
        // The agent fails after the deadline of all streams.
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
        // A new request is not routed to the paused agent, or is retried elsewhere.
        let client = CallerClient::default();
        let response = client.chat(&deployment.chat_request(0, "after", 5)).await;
        assert_eq!(response.text, expected_response("after", "v1", 5));
    });
}

/// Starts streams, some of them at an engine behind a proxy, lets the proxy fail and waits until all
/// streams are complete.
async fn resume_after(
    name: &str,
    fail: impl Fn(&FaultProxy),
) {
    let mut deployment = start(name).await;
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
        panic!("the endpoint behind the proxy is not an engine");
    };
    let running = || engine.core.running.load(Ordering::Relaxed) > 1;
    deployment
        .wait_until("streams on the engine", running)
        .await;
    fail(endpoint.proxy.as_ref().expect("proxy"));
    streams.assert_all_complete().await;
}

#[test]
fn dead_engine_streams_resume() {
    // Cuts the connection within an event, 777 bytes from now.
    block_on(resume_after("engine", |proxy| proxy.cut_after(777)));
}

/// An engine hangs behind an agent that keeps running, and its streams wait there until their callers
/// give up.
#[test]
fn hung_engine_streams_resume() {
    block_on(resume_after("hung", |proxy| {
        proxy.set_mode(ProxyMode::Freeze)
    }));
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
        // No stream was resumed at another engine.
        assert_eq!(sum_engines(&deployment, |e| &e.core.counts.started), count);
    });
}

/// Sums a counter over all engines of a deployment.
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
        assert!(
            client
                .chat(&deployment.chat_request(0, &text, 2))
                .await
                .is_complete
        );
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
