//! Non-repeatable requests run at most once.

use {
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape},
        replay::{CallerClient, CallerResponse, RequestHeader},
    },
    smol::block_on,
};

async fn start() -> Deployment {
    Deployment::for_test(DeploymentShape::tiny("once")).await
}

async fn place_order(
    deployment: &Deployment,
    entry: usize,
    body: &str,
) -> CallerResponse {
    let headers = [RequestHeader {
        name: "idempotency-key",
        value: format!("key-{body}"),
    }];
    let url = deployment.url(entry, "/orders/place");
    let key = deployment.first_key();
    CallerClient::default()
        .send_request("POST", &url, &key, &headers, body.to_string())
        .await
}

#[test]
fn second_try_elsewhere_refused() {
    block_on(async {
        let deployment = start().await;
        let first = place_order(&deployment, 0, "order-1").await;
        assert_eq!(first.status, 200, "{}", first.text);
        let second = place_order(&deployment, 1, "order-1").await;
        assert_eq!(second.status, 409, "{}", second.text);
        assert!(second.text.contains("already_started"));
        assert_eq!(second.ran, "unknown");
        assert_eq!(deployment.runs.count("order-1"), 1);
    });
}

#[test]
fn racing_tries_run_once() {
    block_on(async {
        let deployment = start().await;
        let attempts = (0..10).map(|number| place_order(&deployment, number % 2, "order-1"));
        let mut answered = 0;
        let mut tasks: Vec<_> = attempts.map(Box::pin).collect();
        let mut responses = Vec::new();
        while let Some(task) = tasks.pop() {
            // Two concurrent attempts, one at each entry process.
            match tasks.pop() {
                Some(other) => {
                    let (a, b) = futures_lite::future::zip(task, other).await;
                    responses.extend([a, b]);
                }
                None => responses.push(task.await),
            }
        }
        for response in responses {
            answered += u32::from(response.status == 200);
        }
        assert_eq!(answered, 1);
        assert_eq!(deployment.runs.count("order-1"), 1);
    });
}

#[test]
fn table_down_says_not_run() {
    block_on(async {
        let deployment = start().await;
        deployment.platform.state.table_faults.set_down(true);
        let refused = place_order(&deployment, 0, "order-1").await;
        assert_eq!(refused.status, 503, "{}", refused.text);
        assert!(refused.text.contains("cannot_settle"));
        assert_eq!(refused.ran, "not-run");
        assert!(refused.retry_after.is_some());
        assert_eq!(deployment.runs.count("order-1"), 0);
        deployment.platform.state.table_faults.set_down(false);
        let answered = place_order(&deployment, 1, "order-1").await;
        assert_eq!(answered.status, 200, "{}", answered.text);
        assert_eq!(deployment.runs.count("order-1"), 1);
    });
}

#[test]
fn lost_table_answer_settled() {
    block_on(async {
        let deployment = start().await;
        deployment.platform.state.table_faults.drop_responses(1);
        let answered = place_order(&deployment, 0, "order-1").await;
        assert_eq!(answered.status, 200, "{}", answered.text);
        assert_eq!(deployment.runs.count("order-1"), 1);
        assert_eq!(place_order(&deployment, 1, "order-1").await.status, 409);
    });
}

#[test]
fn not_run_key_used_again() {
    block_on(async {
        let mut deployment = start().await;
        // Without an agent of the service no request can run.
        for endpoint in &mut deployment.endpoints {
            if endpoint.id.contains("service") {
                endpoint.agent = None;
            }
        }
        let what = "the services to be gone";
        for entry in 0..2 {
            let gone = deployment.wait_status(entry, what, |report| {
                let mut services = report.endpoints.iter().filter(|e| e.id.contains("service"));
                !services.any(|e| e.alive)
            });
            gone.await.expect(what);
        }
        let refused = place_order(&deployment, 0, "order-1").await;
        assert_eq!(refused.ran, "not-run", "{}", refused.text);
        let agent = deployment.start_agent("once-service-1").expect("agent");
        let endpoint = deployment
            .endpoints
            .iter_mut()
            .find(|e| e.id == "once-service-1");
        endpoint.expect("endpoint").agent = Some(agent);
        let back = deployment.wait_status(1, "the service to be back", |report| {
            report
                .endpoints
                .iter()
                .any(|e| e.id.contains("service") && e.alive)
        });
        back.await.expect("back");
        let answered = place_order(&deployment, 1, "order-1").await;
        assert_eq!(answered.status, 200, "{}", answered.text);
        assert_eq!(deployment.runs.count("order-1"), 1);
    });
}
