use {
    super::{LatencyCounts, RolloutStage},
    serde::{Deserialize, Serialize},
};

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerOutcome {
    /// The endpoint failed, or its answer did not arrive.
    Failed,
    /// The answer started after this time. The unit is the same for both versions: milliseconds, or
    /// multiples of the expected time.
    Answered(f64),
}

/// Outcomes of requests to the endpoints of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Requests that ended.
    pub total: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Answered requests by latency, before the ramp.
    pub latencies: LatencyCounts,
    /// Answered requests by latency, from the begin of the ramp on.
    #[serde(default)]
    pub ramp_latencies: LatencyCounts,
}

impl AnswerCounts {
    /// Counts an outcome.
    pub fn record(
        &mut self,
        outcome: AnswerOutcome,
        stage: RolloutStage,
    ) {
        self.total += 1;
        match outcome {
            AnswerOutcome::Failed => self.failed += 1,
            AnswerOutcome::Answered(latency) => match stage {
                RolloutStage::Comparison => self.latencies.record(latency),
                RolloutStage::Ramp => self.ramp_latencies.record(latency),
            },
        }
    }

    /// Adds the counts of another front. Counts are bounded, so that a foreign row cannot overflow
    /// the sum.
    pub fn merge(
        &mut self,
        other: &AnswerCounts,
    ) {
        self.total = self.total.saturating_add(other.total);
        self.failed = self.failed.saturating_add(other.failed);
        self.latencies.merge(&other.latencies);
        self.ramp_latencies.merge(&other.ramp_latencies);
    }
}
