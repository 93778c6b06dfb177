use {
    super::{Deployment, DeploymentShape, ProgramSet, POLL_INTERVAL, WAIT_TIMEOUT},
    crate::replay::ChatRequest,
    pitchhitch_core::conf::ConfigChange,
    smol::Timer,
    std::time::Instant,
};

/// Helpers for tests; they panic on failure.
impl Deployment {
    /// A streamed chat request of the first organisation.
    pub fn chat_request(
        &self,
        entry: usize,
        text: &str,
        answer_tokens: u32,
    ) -> ChatRequest {
        ChatRequest {
            address: self.entry_boxes[entry].callers,
            key: self.first_key(),
            model: self.shape.model.clone(),
            text: text.to_string(),
            answer_tokens,
            stream: true,
            label: "test".to_string(),
            headers: Vec::new(),
        }
    }

    /// Bearer key of the first organisation.
    pub fn first_key(&self) -> String {
        self.shape.api_key(&self.shape.organisation_name(1))
    }

    /// URL of a path on the callers' port of an entry process.
    pub fn url(
        &self,
        entry: usize,
        path: &str,
    ) -> String {
        format!("http://{}{path}", self.entry_boxes[entry].callers)
    }

    /// Starts a deployment of the built binaries.
    pub async fn for_test(shape: DeploymentShape) -> Self {
        let programs = ProgramSet::built().unwrap_or_else(|e| panic!("binaries: {e:#}"));
        let deployment = Deployment::start(shape, programs).await;
        deployment.unwrap_or_else(|e| panic!("deployment: {e:#}"))
    }

    /// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
    pub async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn() -> bool,
    ) {
        let started = Instant::now();
        while !condition() {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out after {WAIT_TIMEOUT:?} waiting for {what}"
            );
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Makes a configuration change and waits until every running entry process has
    /// applied it; returns its revision.
    pub async fn change_everywhere(
        &self,
        change: ConfigChange,
    ) -> u64 {
        let revision = self
            .change(change)
            .await
            .unwrap_or_else(|e| panic!("change: {e:#}"));
        self.wait_revision(revision).await;
        revision
    }

    /// Waits until every running entry process has applied a revision or a later one.
    pub async fn wait_revision(
        &self,
        revision: u64,
    ) {
        for index in 0..self.entries.len() {
            if self.entries[index].is_none() {
                continue;
            }
            let what = format!("revision {revision}");
            let waited = self
                .wait_status(index, &what, |report| report.revision >= revision)
                .await;
            waited.unwrap_or_else(|e| panic!("{e:#}"));
        }
    }
}
