//! Accepted configuration takes effect on every entry process and is never reverted.

use {
    pitchhitch_core::conf::{ConfigChange, LabelTarget, ModelConf, VersionConf},
    pitchhitch_process::spawn,
    pitchhitch_services::config::ChangeRequest,
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape},
        replay::{expected_response, CallerClient},
    },
    smol::block_on,
    std::{collections::BTreeSet, time::Duration},
};

const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

async fn start(name: &str) -> Deployment {
    Deployment::for_test(DeploymentShape::tiny(name)).await
}

fn label_change(
    endpoint: &str,
    key: &str,
    value: &str,
) -> ConfigChange {
    ConfigChange::Label {
        target: LabelTarget::Endpoint(endpoint.to_string()),
        key: key.to_string(),
        value: Some(value.to_string()),
    }
}

fn request(
    id: &str,
    change: ConfigChange,
) -> ChangeRequest {
    ChangeRequest {
        change_id: id.to_string(),
        operator: "ann".to_string(),
        at_secs: 0,
        change,
        expected: None,
    }
}

#[test]
fn racing_operators_all_settled() {
    block_on(async {
        let deployment = start("race").await;
        let before = deployment.status(0).await.expect("status").revision;
        let mut tasks = Vec::new();
        // Enough changes for a compaction of the change log; some responses are lost.
        deployment.platform.state.table_faults.drop_responses(5);
        for operator in 0..8 {
            let store = deployment.config_store();
            tasks.push(spawn(async move {
                let mut revisions = Vec::new();
                for number in 0..12 {
                    let value = format!("{operator}-{number}");
                    let change = label_change("race-engine-1", "owner", &value);
                    let request = request(&value, change);
                    let accepted = store
                        .change(&request, CHANGE_TIMEOUT, operator * 1_000 + number)
                        .await;
                    revisions.push((accepted.expect("accepted").revision, value));
                }
                revisions
            }));
        }
        let mut all = Vec::new();
        for task in tasks {
            all.extend(task.await);
        }
        let unique: BTreeSet<u64> = all.iter().map(|(revision, _)| *revision).collect();
        assert_eq!(
            unique.len(),
            96,
            "each accepted change has a revision of its own"
        );
        let (last, value) = all.iter().max().cloned().expect("changes");
        assert_eq!(last, before + 96, "no change was applied twice");
        deployment.wait_revision(last).await;
        for index in 0..2 {
            let report = deployment.status(index).await.expect("status");
            let row = report
                .endpoints
                .iter()
                .find(|e| e.id == "race-engine-1")
                .expect("row");
            assert!(
                row.labels.contains(&format!("owner={value}")),
                "{}",
                row.labels
            );
        }
    });
}

#[test]
fn repeated_id_changes_once() {
    block_on(async {
        let deployment = start("repeat").await;
        let store = deployment.config_store();
        let request = request("same", label_change("repeat-engine-1", "owner", "ann"));
        let first = store
            .change(&request, CHANGE_TIMEOUT, 1)
            .await
            .expect("first");
        let again = store
            .change(&request, CHANGE_TIMEOUT, 2)
            .await
            .expect("again");
        assert_eq!(first.revision, again.revision);
        assert!(again.repeated && !first.repeated);
    });
}

#[test]
fn outdated_change_refused() {
    block_on(async {
        let deployment = start("stale").await;
        let args = [
            "label",
            "endpoint/stale-engine-1",
            "owner=ann",
            "--expect",
            "1",
        ];
        let output = deployment.run_command(&args).await.expect("runs");
        assert_eq!(output.status.code(), Some(4));
        let text = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(text.contains("revision 1 was expected"), "{text}");
    });
}

#[test]
fn table_outage_survived() {
    block_on(async {
        let mut deployment = start("outage").await;
        let revision = deployment
            .change_everywhere(label_change("outage-engine-1", "owner", "ann"))
            .await;
        deployment.platform.state.table_faults.set_down(true);
        // Changes are rejected with an error.
        let store = deployment.config_store();
        let request = request("late", label_change("outage-engine-1", "owner", "bob"));
        let refused = store.change(&request, Duration::from_millis(300), 1).await;
        assert!(refused.is_err(), "{refused:?}");
        // Callers are served, and a process that starts now gets the configuration
        // from its peer.
        let client = CallerClient::default();
        assert!(
            client
                .chat(&deployment.chat_request(0, "during", 2))
                .await
                .is_complete
        );
        deployment.entries[1].take().expect("entry").kill();
        let entry = deployment.start_entry(1).expect("restarts");
        deployment.entries[1] = Some(entry);
        let what = "the new process to be ready";
        let report = deployment.wait_status(1, what, |report| {
            report.ready && report.endpoints.iter().filter(|e| e.alive).count() == 4
        });
        assert_eq!(report.await.expect(what).revision, revision);
        assert!(
            client
                .chat(&deployment.chat_request(1, "after", 2))
                .await
                .is_complete
        );
        // The same change is accepted once the table is available again.
        deployment.platform.state.table_faults.set_down(false);
        let accepted = store
            .change(&request, CHANGE_TIMEOUT, 2)
            .await
            .expect("accepted");
        deployment.wait_revision(accepted.revision).await;
    });
}

#[test]
fn versions_swapped_under_load() {
    block_on(async {
        let mut shape = DeploymentShape::tiny("swap");
        shape.engines = 4;
        let deployment = Deployment::for_test(shape).await;
        deployment.platform.state.add_weights("assistant", "v2");
        let client = CallerClient::default();
        let versions = ["v1", "v2"].map(|v| (v.to_string(), VersionConf::default()));
        let change = ConfigChange::Model {
            name: "assistant".to_string(),
            conf: Some(ModelConf {
                active: "v2".to_string(),
                versions: versions.into_iter().collect(),
                token_bytes: 128,
            }),
        };
        deployment.change(change).await.expect("change");
        let swapped = || deployment.engines().all(|e| e.core.version() == "v2");
        let text = "which is it? ".repeat(700);
        let mut request_count = 0;
        while !swapped() {
            let response = client
                .chat(&deployment.chat_request(request_count % 2, &text, 4))
                .await;
            assert_eq!(response.status, 200, "{}", response.text);
            let is_expected = ["v1", "v2"]
                .iter()
                .any(|v| response.text == expected_response(&text, v, 4));
            assert!(
                is_expected,
                "an answer of neither version: {}",
                response.text
            );
            request_count += 1;
            assert!(request_count < 5_000, "the engines still serve v1");
        }
        assert!(deployment.platform.state.peak_loads() <= 2);
        deployment.wait_ready().await.expect("settled");
        let response = client.chat(&deployment.chat_request(0, &text, 4)).await;
        assert_eq!(response.text, expected_response(&text, "v2", 4));
    });
}
