use {
    super::{expected_response, CallerClient, CallerResponse},
    crate::deploy::Deployment,
    async_global_executor::Task,
    pitchhitch_process::spawn,
};

/// Concurrent streams, distributed over all entry processes.
#[derive(Debug)]
pub struct StreamSet {
    client: CallerClient,
    tasks: Vec<Task<CallerResponse>>,
    answer_tokens: u32,
    version: String,
}

impl StreamSet {
    /// Starts `count` streams of `answer_tokens` output tokens each.
    pub fn start(
        deployment: &Deployment,
        count: usize,
        answer_tokens: u32,
    ) -> Self {
        let mut set = StreamSet {
            client: CallerClient::default(),
            tasks: Vec::new(),
            answer_tokens,
            version: deployment.shape.version.clone(),
        };
        for _ in 0..count {
            set.add(deployment);
        }
        set
    }

    /// Starts another stream.
    pub fn add(
        &mut self,
        deployment: &Deployment,
    ) {
        let number = self.tasks.len();
        let entry = number % deployment.entry_boxes.len();
        let request = deployment.chat_request(entry, &prompt_text(number), self.answer_tokens);
        let client = self.client.clone();
        let task = spawn(async move { client.chat(&request).await });
        self.tasks.push(task);
    }

    /// Number of streams started.
    pub fn count(&self) -> usize {
        self.tasks.len()
    }

    /// Waits for all streams; panics unless each is complete and correct.
    pub async fn assert_all_complete(self) {
        for (number, task) in self.tasks.into_iter().enumerate() {
            let response = task.await;
            assert_eq!(response.status, 200, "{number}: {}", response.text);
            assert!(response.is_complete, "{number}: {}", response.text);
            let expected =
                expected_response(&prompt_text(number), &self.version, self.answer_tokens);
            assert_eq!(response.text, expected, "{number}");
        }
    }
}

fn prompt_text(number: usize) -> String {
    format!("stream {number}")
}
