//! Requests end to end: caller, entry process, agent, endpoint and back.

use {
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape},
        fakes::ServiceResponse,
        replay::{expected_response, CallerClient, RequestHeader},
    },
    serde_json::Value,
    smol::block_on,
};

async fn start() -> Deployment {
    Deployment::for_test(DeploymentShape::tiny("path")).await
}

#[test]
fn prompt_answered() {
    block_on(async {
        let deployment = start().await;
        let client = CallerClient::default();
        let text = "which wines came in? ".repeat(300);
        for entry in 0..2 {
            for stream in [false, true] {
                let mut request = deployment.chat_request(entry, &text, 12);
                request.stream = stream;
                let response = client.chat(&request).await;
                assert_eq!(response.status, 200, "{}", response.text);
                assert!(response.is_complete);
                assert_eq!(response.text, expected_response(&text, "v1", 12));
                assert!(response
                    .request_id
                    .starts_with(&deployment.entry_boxes[entry].id));
            }
        }
    });
}

#[test]
fn whole_answer_has_usage() {
    block_on(async {
        let deployment = start().await;
        let body = r#"{"model": "assistant", "prompt": "short", "max_tokens": 3}"#;
        let url = deployment.url(0, "/v1/completions");
        let client = CallerClient::default();
        let key = deployment.first_key();
        let response = client
            .send_request("POST", &url, &key, &[], body.to_string())
            .await;
        let answer: Value = serde_json::from_str(&response.text).expect("json");
        assert_eq!(answer["object"], "text_completion");
        assert_eq!(answer["usage"]["completion_tokens"], 3);
        assert_eq!(answer["usage"]["total_tokens"], 5);
    });
}

#[test]
fn models_listed() {
    block_on(async {
        let deployment = start().await;
        let client = CallerClient::default();
        let url = deployment.url(0, "/v1/models");
        let key = deployment.first_key();
        let response = client
            .send_request("GET", &url, &key, &[], String::new())
            .await;
        let list: Value = serde_json::from_str(&response.text).expect("json");
        assert_eq!(list["object"], "list");
        assert_eq!(list["data"][0]["id"], "assistant");
        for path in ["/healthz", "/readyz"] {
            let url = deployment.url(1, path);
            let response = client
                .send_request("GET", &url, "", &[], String::new())
                .await;
            assert_eq!(response.status, 200, "{path}");
        }
    });
}

#[test]
fn service_call_untouched() {
    block_on(async {
        let deployment = start().await;
        let client = CallerClient::default();
        let key = deployment.first_key();
        let url = deployment.url(0, "/orders/7/lines?dry=1");
        let headers = [RequestHeader {
            name: "x-pitchhitch-repeatable",
            value: "yes".to_string(),
        }];
        for method in ["POST", "PUT", "GET", "DELETE"] {
            let body = if method == "GET" {
                ""
            } else {
                "{\"odd\":  bytes}\u{7}"
            };
            let response = client
                .send_request(method, &url, &key, &headers, body.to_string())
                .await;
            assert_eq!(response.status, 200, "{}", response.text);
            let answer: ServiceResponse = serde_json::from_str(&response.text).expect("json");
            assert_eq!(answer.method, method);
            assert_eq!(answer.path, "/orders/7/lines?dry=1");
            assert_eq!(answer.body, body);
        }
    });
}

#[test]
fn decision_explained() {
    block_on(async {
        let deployment = start().await;
        let client = CallerClient::default();
        let response = client
            .chat(&deployment.chat_request(1, "why there?", 2))
            .await;
        // The operator queries entry process 0, which forwards to the one that decided.
        let output = deployment
            .run_command(&["explain", &response.request_id])
            .await
            .expect("runs");
        let text = String::from_utf8_lossy(&output.stdout).to_string();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        assert!(text.contains("path-engine-"), "{text}");
        assert!(text.contains("outcome: answered"), "{text}");
        let output = deployment
            .run_command(&["explain", "path-entry-1.0.999"])
            .await
            .expect("runs");
        assert_eq!(output.status.code(), Some(1));
    });
}

#[test]
fn returning_prompt_reused() {
    block_on(async {
        let deployment = start().await;
        let client = CallerClient::default();
        let text = "a long price list ".repeat(1_200);
        let first = client.chat(&deployment.chat_request(0, &text, 2)).await;
        assert!(first.is_complete);
        // The other entry process learns of the pieces from the agents' events.
        deployment
            .wait_status(1, "pieces", |report| report.pieces >= 10)
            .await
            .expect("pieces");
        let again = client.chat(&deployment.chat_request(1, &text, 2)).await;
        assert_eq!(again.text, expected_response(&text, "v1", 2));
        let counts: u64 = deployment
            .engines()
            .map(|e| {
                e.core
                    .counts
                    .computed_tokens
                    .load(std::sync::atomic::Ordering::Relaxed)
            })
            .sum();
        // 21,600 bytes are 5,400 tokens; the second request reuses most of them.
        assert!(counts < 6_500, "{counts}");
    });
}
