//! Each kind of invalid input gets its error response and affects no other request.

use {
    pitchhitch_core::conf::{ConfigChange, PlacementRule, RuleEffect},
    pitchhitch_core::labels::LabelSelector,
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape},
        replay::{expected_response, CallerClient, CallerResponse, RequestHeader},
    },
    serde_json::Value,
    smol::block_on,
};

const CHAT: &str = "/v1/chat/completions";

struct Fixture {
    deployment: Deployment,
    client: CallerClient,
}

impl Fixture {
    async fn start() -> Self {
        Fixture {
            deployment: Deployment::for_test(DeploymentShape::tiny("bad")).await,
            client: CallerClient::default(),
        }
    }

    async fn send_request(
        &self,
        method: &str,
        path: &str,
        key: &str,
        headers: &[RequestHeader],
        body: &str,
    ) -> CallerResponse {
        let url = self.deployment.url(0, path);
        self.client
            .send_request(method, &url, key, headers, body.to_string())
            .await
    }

    /// Asserts that a response is this error and that a valid request still succeeds.
    async fn expect_error(
        &self,
        response: CallerResponse,
        status: u16,
        code: &str,
    ) {
        assert_eq!(response.status, status, "{code}: {}", response.text);
        let body: Value = serde_json::from_str(&response.text).expect("json");
        assert_eq!(body["error"]["code"], code);
        assert!(body["error"]["message"].is_string());
        assert_eq!(response.ran, "not-run");
        assert!(!response.request_id.is_empty());
        if status == 503 {
            assert!(response.retry_after.is_some());
        }
        let good = self
            .client
            .chat(&self.deployment.chat_request(0, "still there?", 3))
            .await;
        assert_eq!(good.text, expected_response("still there?", "v1", 3));
    }
}

#[test]
fn every_kind_answered() {
    block_on(async {
        let fixture = Fixture::start().await;
        let key = fixture.deployment.first_key();
        let good = r#"{"model": "assistant", "messages": [{"role": "user", "content": "hi"}]}"#;

        let broken = fixture
            .send_request("POST", CHAT, &key, &[], "{\"model\": ")
            .await;
        fixture.expect_error(broken, 400, "malformed_body").await;
        let empty = r#"{"model": "assistant", "messages": []}"#;
        let empty = fixture.send_request("POST", CHAT, &key, &[], empty).await;
        fixture.expect_error(empty, 400, "malformed_body").await;

        let missing = fixture.send_request("POST", CHAT, "", &[], good).await;
        fixture.expect_error(missing, 401, "invalid_api_key").await;
        let wrong = fixture
            .send_request("POST", CHAT, "key-of-somebody", &[], good)
            .await;
        fixture.expect_error(wrong, 401, "invalid_api_key").await;

        let model = good.replace("assistant", "oracle");
        let unknown = fixture.send_request("POST", CHAT, &key, &[], &model).await;
        fixture.expect_error(unknown, 404, "model_not_found").await;
        let nowhere = fixture.send_request("GET", "/nowhere", &key, &[], "").await;
        fixture.expect_error(nowhere, 404, "unknown_path").await;
        // A path prefix matches whole segments only.
        let longer_path = fixture
            .send_request("GET", "/ordersheet", &key, &[], "")
            .await;
        fixture.expect_error(longer_path, 404, "unknown_path").await;

        for (name, value) in [
            ("x-pitchhitch-deadline-ms", "soon"),
            ("x-pitchhitch-repeatable", "maybe"),
        ] {
            let header = RequestHeader {
                name,
                value: value.to_string(),
            };
            let bad = fixture
                .send_request("POST", CHAT, &key, &[header], good)
                .await;
            fixture.expect_error(bad, 400, "bad_header").await;
        }

        let large = format!("{{\"model\": \"{}\"}}", "x".repeat(5 << 20));
        let large = fixture.send_request("POST", CHAT, &key, &[], &large).await;
        fixture.expect_error(large, 413, "body_too_large").await;
    });
}

#[test]
fn other_organisations_request() {
    block_on(async {
        let fixture = Fixture::start().await;
        let mine = fixture
            .client
            .chat(&fixture.deployment.chat_request(0, "mine", 2))
            .await;
        let path = format!("/pitchhitch/requests/{}", mine.request_id);
        let own = fixture
            .send_request("GET", &path, &fixture.deployment.first_key(), &[], "")
            .await;
        assert_eq!(own.status, 200);
        assert!(own.text.contains("bad-engine-"));
        let other = fixture
            .deployment
            .shape
            .api_key(&fixture.deployment.shape.organisation_name(2));
        let theirs = fixture.send_request("GET", &path, &other, &[], "").await;
        fixture.expect_error(theirs, 404, "unknown_request").await;
    });
}

#[test]
fn selector_matches_nothing() {
    block_on(async {
        let fixture = Fixture::start().await;
        let rule = PlacementRule {
            precedence: 0,
            work: LabelSelector::parse("organisation=bad-02").expect("work"),
            endpoints: LabelSelector::parse("site=nowhere").expect("endpoints"),
            effect: RuleEffect::Allow,
        };
        let change = ConfigChange::Rule {
            name: "nowhere".to_string(),
            rule: Some(rule),
        };
        fixture.deployment.change_everywhere(change).await;
        let key = fixture.deployment.shape.api_key("bad-02");
        let good = r#"{"model": "assistant", "messages": [{"role": "user", "content": "hi"}]}"#;
        let refused = fixture.send_request("POST", CHAT, &key, &[], good).await;
        fixture.expect_error(refused, 503, "nothing_selected").await;
    });
}
