//! Graceful shutdown and draining interrupt no request.

use {
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape, ProcessSignal, WAIT_TIMEOUT},
        replay::{CallerClient, StreamSet},
    },
    smol::{block_on, Timer},
    std::{
        io::{Read, Write},
        net::TcpStream,
        sync::atomic::Ordering,
        time::Duration,
    },
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

/// Guards against processes that ended on SIGHUP or on a second stop signal, with all their requests.
#[test]
fn reload_signal_survived() {
    block_on(async {
        let mut deployment = start("reload").await;
        let streams = start_streams(&deployment, 6).await;
        let mut agent = deployment.endpoints[1].agent.take().expect("agent");
        let mut entry = deployment.entries[1].take().expect("entry");
        for process in [&agent, &entry] {
            process.signal(ProcessSignal::Reload);
            let reloaded = || process.log_text().contains("event=reload changed=false");
            deployment.wait_until("the reload", reloaded).await;
            process.signal(ProcessSignal::Term);
            process.signal(ProcessSignal::Reload);
            process.signal(ProcessSignal::Term);
        }
        assert_uninterrupted(&deployment, streams, 6).await;
        for process in [&mut agent, &mut entry] {
            assert!(process.wait(WAIT_TIMEOUT).await.expect("ends").success());
        }
    });
}

/// A request whose head or body is arriving when an entry process stops is served.
#[test]
fn arriving_request_served() {
    block_on(async {
        let mut deployment = start("arriving").await;
        let mut callers: Vec<TcpStream> = Vec::new();
        let body = format!(
            r#"{{"model":"{}","stream":true,"max_tokens":4,"messages":[{{"role":"user","content":"hello"}}]}}"#,
            deployment.shape.model
        );
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            deployment.first_key(),
            body.len()
        );
        let splits = [20, text.len() - body.len(), text.len() - 1];
        for split in splits {
            let address = deployment.entry_boxes[0].callers;
            let mut caller = TcpStream::connect(address).expect("connected");
            caller.write_all(&text.as_bytes()[..split]).expect("sent");
            callers.push(caller);
        }
        Timer::after(Duration::from_millis(200)).await;
        let mut entry = deployment.entries[0].take().expect("entry");
        entry.signal(ProcessSignal::Term);
        Timer::after(Duration::from_millis(1_500)).await;
        for (caller, split) in callers.iter_mut().zip(splits) {
            let timeout = Some(Duration::from_secs(10));
            caller.set_read_timeout(timeout).expect("set");
            let sent = caller.write_all(&text.as_bytes()[split..]);
            sent.expect("sent");
            let mut reply = String::new();
            caller.read_to_string(&mut reply).expect("read");
            assert!(reply.starts_with("HTTP/1.1 200"), "{split}: {reply}");
            assert!(reply.ends_with("0\r\n\r\n"), "{split}: {reply}");
        }
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
