use {
    super::ReplayResult,
    crate::{deploy::Deployment, trace::TraceRow},
    std::sync::atomic::Ordering,
};

/// Metrics of one replay, as the users' brief names them.
#[derive(Debug, Clone)]
pub struct RunMetrics {
    /// Results as seen by callers.
    pub result: ReplayResult,
    /// Prompt tokens received by engines.
    pub prompt_tokens: u64,
    /// Prompt tokens computed by engines.
    pub computed_tokens: u64,
    /// Bytes transferred to and from the store box.
    pub link_bytes: u64,
    /// Commits in the table.
    pub table_writes: u64,
    /// Reads of the table.
    pub table_reads: u64,
    /// Non-repeatable requests that ran more than once.
    pub ran_twice: u64,
}

impl RunMetrics {
    /// Gathers the metrics of a deployment after a replay.
    pub fn collect(
        deployment: &Deployment,
        rows: &[TraceRow],
        result: ReplayResult,
    ) -> Self {
        let mut prompt_tokens = 0;
        let mut computed_tokens = 0;
        for engine in deployment.engines() {
            let counts = &engine.core.counts;
            prompt_tokens += counts.prompt_tokens.load(Ordering::Relaxed);
            computed_tokens += counts.computed_tokens.load(Ordering::Relaxed);
        }
        let calls = deployment.platform.state.table.calls();
        let non_repeatable = rows.iter().enumerate().filter(|(_, row)| !row.repeatable);
        let ran_twice = non_repeatable.filter(|(number, _)| {
            let body = service_body(&deployment.shape.name, *number);
            deployment.runs.count(&body) > 1
        });
        RunMetrics {
            result,
            prompt_tokens,
            computed_tokens,
            link_bytes: deployment.store.link_bytes(),
            table_writes: calls.writes,
            table_reads: calls.reads,
            ran_twice: ran_twice.count() as u64,
        }
    }

    /// Percentage of prompt tokens that were computed rather than reused.
    pub fn recomputed_percent(&self) -> f64 {
        100.0 * self.computed_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Whether no response was wrong, no repeatable request was lost and no
    /// non-repeatable request ran twice.
    pub fn passed(&self) -> bool {
        self.result.passed() && self.ran_twice == 0
    }
}

/// Body of the service request at an index of a trace; unique in a deployment.
pub fn service_body(
    deployment: &str,
    number: usize,
) -> String {
    format!("{deployment}-call-{number}")
}
