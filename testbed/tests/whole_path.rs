//! The whole path: caller, entry process, agent, endpoint and back.

use {
    pitchhitch_testbed::{
        deploy::{Deployment, DeploymentShape, ProgramSet},
        replay::{right_answer, CallerClient, PromptCall},
    },
    smol::block_on,
};

fn prompt(
    deployment: &Deployment,
    entry: usize,
    stream: bool,
) -> PromptCall {
    PromptCall {
        address: deployment.entry_places[entry].callers,
        key: deployment.shape.key(&deployment.shape.organisation(1)),
        model: deployment.shape.model.clone(),
        text: "which wines came in? ".repeat(300),
        answer_tokens: 12,
        stream,
        label: "price-list".to_string(),
        headers: Vec::new(),
    }
}

async fn start() -> Deployment {
    let programs = ProgramSet::built().expect("binaries");
    Deployment::start(DeploymentShape::tiny("path"), programs)
        .await
        .expect("deployment")
}

#[test]
fn prompt_answered() {
    block_on(async {
        let deployment = start().await;
        let client = CallerClient::default();
        for entry in 0..2 {
            for stream in [false, true] {
                let call = prompt(&deployment, entry, stream);
                let outcome = client.chat(&call).await;
                let right = right_answer(&call.text, "v1", call.answer_tokens);
                assert_eq!(outcome.status, 200, "{}", outcome.text);
                assert!(outcome.whole);
                assert_eq!(outcome.text, right);
            }
        }
    });
}
