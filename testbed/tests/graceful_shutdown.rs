//! Graceful shutdown and draining interrupt no request.

use {
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape, ProcessSignal, WAIT_TIMEOUT},
        replay::{CallerClient, StreamSet},
    },
    smol::block_on,
    std::sync::atomic::Ordering,
};

const TOKENS: u32 = 400;

async fn start(name: &str) -> Deployment {
    Deployment::for_test(DeploymentShape::streaming(name)).await
}

/// Starts streams and waits until each of them runs at an engine.
async fn start_streams(
    deployment: &Deployment,
    count: usize,
) -> StreamSet {
    let streams = StreamSet::start(deployment, count, TOKENS);
    let running = || {
        let engines = deployment.engines();
        let running: u32 = engines
            .map(|e| e.core.running.load(Ordering::Relaxed))
            .sum();
        running as usize == count
    };
    deployment.wait_until("all streams to run", running).await;
    streams
}

/// Asserts that all streams are complete and correct and none was started twice.
async fn assert_uninterrupted(
    deployment: &Deployment,
    streams: StreamSet,
    count: u64,
) {
    streams.assert_all_complete().await;
    let engines = deployment.engines();
    let started: u64 = engines
        .map(|e| e.core.counts.started.load(Ordering::Relaxed))
        .sum();
    assert_eq!(started, count);
}

#[test]
fn entry_stop_cuts_nothing() {
    block_on(async {
        let mut deployment = start("stop").await;
        let streams = start_streams(&deployment, 6).await;
        let mut entry = deployment.entries[0].take().expect("entry");
        entry.signal(ProcessSignal::Term);
        assert_uninterrupted(&deployment, streams, 6).await;
        assert!(entry.wait(WAIT_TIMEOUT).await.expect("ends").success());
        assert!(entry.log_text().contains("cut_off=0"));
    });
}

#[test]
fn agent_stop_cuts_nothing() {
    block_on(async {
        let mut deployment = start("leave").await;
        let streams = start_streams(&deployment, 6).await;
        let mut agent = deployment.endpoints[0].agent.take().expect("agent");
        agent.signal(ProcessSignal::Term);
        assert_uninterrupted(&deployment, streams, 6).await;
        assert!(agent.wait(WAIT_TIMEOUT).await.expect("ends").success());
        assert!(agent.log_text().contains("cut_off=0"));
    });
}

#[test]
fn two_stops_cut_nothing() {
    block_on(async {
        let mut deployment = start("both").await;
        let streams = start_streams(&deployment, 6).await;
        let mut agent = deployment.endpoints[1].agent.take().expect("agent");
        let mut entry = deployment.entries[1].take().expect("entry");
        agent.signal(ProcessSignal::Term);
        entry.signal(ProcessSignal::Term);
        assert_uninterrupted(&deployment, streams, 6).await;
        assert!(agent.wait(WAIT_TIMEOUT).await.expect("ends").success());
        assert!(entry.wait(WAIT_TIMEOUT).await.expect("ends").success());
    });
}

#[test]
fn drain_tells_when() {
    block_on(async {
        let deployment = start("drain").await;
        let streams = start_streams(&deployment, 6).await;
        let engine = deployment.endpoints[0].id.clone();
        let output = deployment
            .run_command(&["drain", &engine])
            .await
            .expect("runs");
        let text = String::from_utf8_lossy(&output.stdout).to_string();
        assert!(output.status.success(), "{text}");
        assert!(text.contains("requests run"), "{text}");
        assert!(
            text.trim_end().ends_with("drained: the box may stop"),
            "{text}"
        );
        assert_uninterrupted(&deployment, streams, 6).await;
        // All further requests go to the other engine.
        let before = deployment.engines().next().expect("engine");
        let started = before.core.counts.started.load(Ordering::Relaxed);
        let client = CallerClient::default();
        for number in 0..6 {
            let response = client
                .chat(&deployment.chat_request(number % 2, "later", 2))
                .await;
            assert!(response.is_complete);
        }
        assert_eq!(before.core.counts.started.load(Ordering::Relaxed), started);
    });
}
