use {
    super::{right_answer, CallOutcome, CallerClient},
    crate::deploy::Deployment,
    async_global_executor::Task,
    pitchhitch_process::spawn,
};

/// Streams that run at the same time, over all entry processes.
#[derive(Debug)]
pub struct StreamSet {
    tasks: Vec<Task<CallOutcome>>,
    answer_tokens: u32,
    version: String,
}

impl StreamSet {
    /// Starts so many streams of so many tokens each.
    pub fn start(
        deployment: &Deployment,
        count: usize,
        answer_tokens: u32,
    ) -> Self {
        let client = CallerClient::default();
        let entries = deployment.entry_places.len();
        let mut tasks = Vec::new();
        for number in 0..count {
            let call = deployment.prompt(number % entries, &prompt_text(number), answer_tokens);
            let client = client.clone();
            tasks.push(spawn(async move { client.chat(&call).await }));
        }
        StreamSet {
            tasks,
            answer_tokens,
            version: deployment.shape.version.clone(),
        }
    }

    /// Waits for all of them; panics unless each is whole and right.
    pub async fn all_right(self) {
        for (number, task) in self.tasks.into_iter().enumerate() {
            let outcome = task.await;
            assert_eq!(outcome.status, 200, "{number}: {}", outcome.text);
            assert!(outcome.whole, "{number}: {}", outcome.text);
            let right = right_answer(&prompt_text(number), &self.version, self.answer_tokens);
            assert_eq!(outcome.text, right, "{number}");
        }
    }
}

fn prompt_text(number: usize) -> String {
    format!("stream {number}")
}
