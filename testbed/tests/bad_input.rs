//! Bad input: each kind has its answer, and none of it ends anything else.

use {
    pitchhitch_core::conf::{ConfigChange, PlacementRule, RuleEffect},
    pitchhitch_core::labels::LabelSelector,
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape},
        replay::{right_answer, CallHeader, CallOutcome, CallerClient},
    },
    serde_json::Value,
    smol::block_on,
};

const CHAT: &str = "/v1/chat/completions";

struct Bench {
    deployment: Deployment,
    client: CallerClient,
}

impl Bench {
    async fn start() -> Self {
        Bench {
            deployment: Deployment::for_test(DeploymentShape::tiny("bad")).await,
            client: CallerClient::default(),
        }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        key: &str,
        headers: &[CallHeader],
        body: &str,
    ) -> CallOutcome {
        let url = self.deployment.url(0, path);
        self.client
            .plain(method, &url, key, headers, body.to_string())
            .await
    }

    /// The answer must be this error, and a good request must still be answered.
    async fn expect(
        &self,
        outcome: CallOutcome,
        status: u16,
        code: &str,
    ) {
        assert_eq!(outcome.status, status, "{code}: {}", outcome.text);
        let body: Value = serde_json::from_str(&outcome.text).expect("json");
        assert_eq!(body["error"]["code"], code);
        assert!(body["error"]["message"].is_string());
        assert_eq!(outcome.ran, "not-run");
        assert!(!outcome.request_id.is_empty());
        if status == 503 {
            assert!(outcome.retry_after.is_some());
        }
        let good = self
            .client
            .chat(&self.deployment.prompt(0, "still there?", 3))
            .await;
        assert_eq!(good.text, right_answer("still there?", "v1", 3));
    }
}

#[test]
fn every_kind_answered() {
    block_on(async {
        let bench = Bench::start().await;
        let key = bench.deployment.first_key();
        let good = r#"{"model": "assistant", "messages": [{"role": "user", "content": "hi"}]}"#;

        let broken = bench.call("POST", CHAT, &key, &[], "{\"model\": ").await;
        bench.expect(broken, 400, "malformed_body").await;
        let empty = r#"{"model": "assistant", "messages": []}"#;
        let empty = bench.call("POST", CHAT, &key, &[], empty).await;
        bench.expect(empty, 400, "malformed_body").await;

        let missing = bench.call("POST", CHAT, "", &[], good).await;
        bench.expect(missing, 401, "invalid_api_key").await;
        let wrong = bench.call("POST", CHAT, "key-of-somebody", &[], good).await;
        bench.expect(wrong, 401, "invalid_api_key").await;

        let model = good.replace("assistant", "oracle");
        let unknown = bench.call("POST", CHAT, &key, &[], &model).await;
        bench.expect(unknown, 404, "model_not_found").await;
        let nowhere = bench.call("GET", "/nowhere", &key, &[], "").await;
        bench.expect(nowhere, 404, "unknown_path").await;
        // A prefix ends at a slash.
        let beside = bench.call("GET", "/ordersheet", &key, &[], "").await;
        bench.expect(beside, 404, "unknown_path").await;

        for (name, value) in [
            ("x-pitchhitch-deadline-ms", "soon"),
            ("x-pitchhitch-repeatable", "maybe"),
        ] {
            let header = CallHeader {
                name,
                value: value.to_string(),
            };
            let bad = bench.call("POST", CHAT, &key, &[header], good).await;
            bench.expect(bad, 400, "bad_header").await;
        }

        let large = format!("{{\"model\": \"{}\"}}", "x".repeat(5 << 20));
        let large = bench.call("POST", CHAT, &key, &[], &large).await;
        bench.expect(large, 413, "body_too_large").await;
    });
}

#[test]
fn other_organisations_request() {
    block_on(async {
        let bench = Bench::start().await;
        let mine = bench
            .client
            .chat(&bench.deployment.prompt(0, "mine", 2))
            .await;
        let path = format!("/pitchhitch/requests/{}", mine.request_id);
        let own = bench
            .call("GET", &path, &bench.deployment.first_key(), &[], "")
            .await;
        assert_eq!(own.status, 200);
        assert!(own.text.contains("bad-engine-"));
        let other = bench
            .deployment
            .shape
            .key(&bench.deployment.shape.organisation(2));
        let theirs = bench.call("GET", &path, &other, &[], "").await;
        bench.expect(theirs, 404, "unknown_request").await;
    });
}

#[test]
fn selector_matches_nothing() {
    block_on(async {
        let bench = Bench::start().await;
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
        bench.deployment.change_everywhere(change).await;
        let key = bench.deployment.shape.key("bad-02");
        let good = r#"{"model": "assistant", "messages": [{"role": "user", "content": "hi"}]}"#;
        let refused = bench.call("POST", CHAT, &key, &[], good).await;
        bench.expect(refused, 503, "nothing_selected").await;
    });
}
