use serde::{Deserialize, Serialize};

/// Number of latency buckets. Each is wider than the one before by a factor of the square root of
/// two, so they cover a range of 2 to the power of 24.
pub const LATENCY_BUCKETS: usize = 48;
/// Buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Lower end of the second bucket, in the unit of the latencies.
const FIRST_BUCKET: f64 = 1.0 / 256.0;

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
    /// Answered requests by latency; empty buckets at the end are omitted.
    pub latencies: Vec<u32>,
}

impl AnswerCounts {
    /// Counts an outcome.
    pub fn record(
        &mut self,
        outcome: AnswerOutcome,
    ) {
        self.total += 1;
        match outcome {
            AnswerOutcome::Failed => self.failed += 1,
            AnswerOutcome::Answered(latency) => {
                let bucket = bucket_of(latency);
                if self.latencies.len() <= bucket {
                    self.latencies.resize(bucket + 1, 0);
                }
                self.latencies[bucket] += 1;
            }
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
        let buckets = other.latencies.iter().take(LATENCY_BUCKETS);
        for (bucket, count) in buckets.enumerate() {
            if self.latencies.len() <= bucket {
                self.latencies.resize(bucket + 1, 0);
            }
            self.latencies[bucket] = self.latencies[bucket].saturating_add(*count);
        }
    }

    /// Answered requests in buckets from `bucket` on.
    pub fn slower_than(
        &self,
        bucket: usize,
    ) -> u32 {
        self.latencies
            .iter()
            .skip(bucket)
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Answered requests.
    pub fn answered(&self) -> u32 {
        self.slower_than(0)
    }
}

fn bucket_of(latency: f64) -> usize {
    let octaves = (latency.max(FIRST_BUCKET) / FIRST_BUCKET).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(LATENCY_BUCKETS - 1)
}
