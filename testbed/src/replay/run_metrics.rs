use {
    super::ReplayResult,
    crate::{deploy::Deployment, trace::TraceRow},
    std::sync::atomic::Ordering,
};

/// The brief's measures of one replay.
#[derive(Debug, Clone)]
pub struct RunMetrics {
    /// What callers saw.
    pub result: ReplayResult,
    /// Prompt tokens that came in at engines.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines computed.
    pub computed_tokens: u64,
    /// Bytes over the links to store boxes.
    pub link_bytes: u64,
    /// Commits in the table.
    pub table_writes: u64,
    /// Reads of the table.
    pub table_reads: u64,
    /// Requests that may run at most once and ran more often.
    pub ran_twice: u64,
}

impl RunMetrics {
    /// Gathers the measures of a deployment after a replay.
    pub fn gather(
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

    /// Share of prompt work that was computed rather than reused, in percent.
    pub fn recomputed_percent(&self) -> f64 {
        100.0 * self.computed_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Whether every promise that a replay can see was kept.
    pub fn is_clean(&self) -> bool {
        self.result.is_clean() && self.ran_twice == 0
    }
}

/// Body of the service call with a number in its trace.
pub fn service_body(
    deployment: &str,
    number: usize,
) -> String {
    format!("{deployment}-call-{number}")
}
