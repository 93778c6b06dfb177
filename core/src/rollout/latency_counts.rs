use serde::{Deserialize, Serialize};

/// Number of latency buckets. Each is wider than the one before by a factor of the square root of
/// two, so they cover a range of 2 to the power of 24.
pub const LATENCY_BUCKETS: usize = 48;
/// Buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Lower end of the second bucket, in the unit of the latencies.
const FIRST_BUCKET: f64 = 1.0 / 256.0;

/// Answers by latency; empty buckets at the end are omitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LatencyCounts {
    buckets: Vec<u32>,
}

impl LatencyCounts {
    /// Counts an answer.
    pub fn record(
        &mut self,
        latency: f64,
    ) {
        let bucket = bucket_of(latency);
        if self.buckets.len() <= bucket {
            self.buckets.resize(bucket + 1, 0);
        }
        self.buckets[bucket] += 1;
    }

    /// Adds the counts of another front.
    pub fn merge(
        &mut self,
        other: &LatencyCounts,
    ) {
        let buckets = other.buckets.iter().take(LATENCY_BUCKETS);
        for (bucket, count) in buckets.enumerate() {
            if self.buckets.len() <= bucket {
                self.buckets.resize(bucket + 1, 0);
            }
            self.buckets[bucket] = self.buckets[bucket].saturating_add(*count);
        }
    }

    /// Answers in buckets from `bucket` on.
    pub fn slower_than(
        &self,
        bucket: usize,
    ) -> u32 {
        self.buckets
            .iter()
            .skip(bucket)
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// All answers.
    pub fn total(&self) -> u32 {
        self.slower_than(0)
    }

    /// First bucket from which on there are at most this share of the answers.
    pub fn bucket_at(
        &self,
        share: f64,
    ) -> usize {
        let limit = share * f64::from(self.total());
        let is_below = |bucket: &usize| f64::from(self.slower_than(*bucket)) <= limit;
        (0..=self.buckets.len()).find(is_below).unwrap_or_default()
    }
}

fn bucket_of(latency: f64) -> usize {
    let octaves = (latency.max(FIRST_BUCKET) / FIRST_BUCKET).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(LATENCY_BUCKETS - 1)
}
