use serde::{Deserialize, Serialize};

/// A routing decision, as it is logged and as `pitchhitch explain` prints it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Id of the request.
    pub request_id: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Requested model or service.
    pub target: String,
    /// Weight version; empty for plain services.
    pub version: String,
    /// Number of the attempt, counted from one.
    pub attempt: u32,
    /// Id of the chosen endpoint.
    pub chosen: String,
    /// Id of the second-best endpoint, if there was one.
    pub runner_up: Option<String>,
    /// Reason for the choice.
    pub reason: String,
    /// Number of endpoints that were considered.
    pub candidates: u32,
    /// Prompt length, in tokens.
    pub input_tokens: u32,
    /// Prompt tokens whose state is already in accelerator memory.
    pub reused_tokens: u32,
    /// Prompt tokens whose state is imported.
    pub imported_tokens: u32,
    /// Estimated queueing time, in microseconds.
    pub queue_us: u64,
    /// Estimated import time, in microseconds.
    pub import_us: u64,
    /// Estimated time to compute the remaining prompt tokens, in microseconds.
    pub compute_us: u64,
    /// Estimated time to first token at the runner-up, in microseconds.
    pub runner_up_us: Option<u64>,
    /// Tier in which the prompt's state is retained afterwards.
    pub keep: String,
    /// Configuration revision.
    pub revision: u64,
    /// How the attempt ended; empty while it runs.
    pub outcome: String,
}

impl DecisionRecord {
    /// Logs the decision as one line of key=value pairs.
    pub fn log(&self) {
        log::info!(
            event = "route",
            request = self.request_id.as_str(),
            organisation = self.organisation.as_str(),
            target = self.target.as_str(),
            version = self.version.as_str(),
            attempt = self.attempt,
            chosen = self.chosen.as_str(),
            runner_up = self.runner_up.as_deref().unwrap_or("none"),
            reason = self.reason.as_str(),
            candidates = self.candidates,
            input_tokens = self.input_tokens,
            reused_tokens = self.reused_tokens,
            imported_tokens = self.imported_tokens,
            queue_us = self.queue_us,
            import_us = self.import_us,
            compute_us = self.compute_us,
            keep = self.keep.as_str(),
            revision = self.revision;
            ""
        );
    }
}
