use {
    super::{right_answer, CallOutcome, CallerClient},
    crate::deploy::Deployment,
    async_global_executor::Task,
    pitchhitch_process::spawn,
};

/// Streams that run at the same time, over all entry processes.
#[derive(Debug)]
pub struct StreamSet {
    client: CallerClient,
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

    /// Starts one more.
    pub fn add(
        &mut self,
        deployment: &Deployment,
    ) {
        let number = self.tasks.len();
        let entry = number % deployment.entry_places.len();
        let call = deployment.prompt(entry, &prompt_text(number), self.answer_tokens);
        let client = self.client.clone();
        let task = spawn(async move { client.chat(&call).await });
        self.tasks.push(task);
    }

    /// How many were started.
    pub fn count(&self) -> usize {
        self.tasks.len()
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
