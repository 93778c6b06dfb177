use {crate::time::Micros, std::collections::BTreeMap};

/// Number of gap buckets; bucket `i` counts gaps from 2^i to 2^(i+1) milliseconds.
const GAP_BUCKETS: usize = 32;
/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 4.0;
/// Prior probability that a prompt is reused.
const PRIOR_PROBABILITY: f64 = 0.5;
/// Maximum number of distinct labels; further ones share one entry.
const MAX_LABELS: usize = 4_096;
/// Total count at which all counts are halved, so that the model follows changing usage.
const DECAY_THRESHOLD: f64 = 10_000.0;

/// Class of requests that share reuse statistics.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReuseLabel {
    /// Name of the organisation.
    pub organisation: String,
    /// Label set by the caller on the request; may be empty.
    pub label: String,
}

#[derive(Debug, Clone)]
struct GapCounts {
    gaps: [f64; GAP_BUCKETS],
    expired: f64,
}

impl Default for GapCounts {
    fn default() -> Self {
        GapCounts {
            gaps: [0.0; GAP_BUCKETS],
            expired: 0.0,
        }
    }
}

impl GapCounts {
    fn reuses(&self) -> f64 {
        self.gaps.iter().sum()
    }

    fn decay(&mut self) {
        if self.reuses() + self.expired > DECAY_THRESHOLD {
            self.expired /= 2.0;
            self.gaps.iter_mut().for_each(|g| *g /= 2.0);
        }
    }
}

fn bucket_index(gap: Micros) -> usize {
    let millis = gap.as_millis().max(1);
    (millis.ilog2() as usize).min(GAP_BUCKETS - 1)
}

/// Statistics of the gaps after which prompts are reused, per label.
#[derive(Debug, Clone, Default)]
pub struct ReuseModel {
    counts: BTreeMap<ReuseLabel, GapCounts>,
}

impl ReuseModel {
    /// Records that a prompt was reused after `gap`.
    pub fn record_reuse(
        &mut self,
        label: &ReuseLabel,
        gap: Micros,
    ) {
        let counts = self.counts_mut(label);
        counts.gaps[bucket_index(gap)] += 1.0;
        counts.decay();
    }

    /// Records that a prompt was evicted from the history without a further reuse.
    pub fn record_expiry(
        &mut self,
        label: &ReuseLabel,
    ) {
        let counts = self.counts_mut(label);
        counts.expired += 1.0;
        counts.decay();
    }

    /// Probability that a prompt last seen `age` ago is still reused.
    pub fn reuse_probability(
        &self,
        label: &ReuseLabel,
        age: Micros,
    ) -> f64 {
        let Some(counts) = self.counts.get(label) else {
            return PRIOR_PROBABILITY;
        };
        let from = bucket_index(age);
        let later: f64 = counts.gaps[from..].iter().sum();
        let prior = PRIOR_PROBABILITY * PRIOR_WEIGHT;
        (later + prior) / (later + counts.expired + PRIOR_WEIGHT)
    }

    /// Median of the reuse gaps of at least `age`, rounded down to the start of its bucket;
    /// `None` without observations.
    pub fn median_gap(
        &self,
        label: &ReuseLabel,
        age: Micros,
    ) -> Option<Micros> {
        let counts = self.counts.get(label)?;
        let from = bucket_index(age);
        let later: f64 = counts.gaps[from..].iter().sum();
        if later <= 0.0 {
            return None;
        }
        let mut cumulative = 0.0;
        for bucket in from..GAP_BUCKETS {
            cumulative += counts.gaps[bucket];
            if cumulative >= later / 2.0 {
                return Some(Micros::from_millis(1 << bucket));
            }
        }
        None
    }

    fn counts_mut(
        &mut self,
        label: &ReuseLabel,
    ) -> &mut GapCounts {
        let known = self.counts.contains_key(label);
        let key = if known || self.counts.len() < MAX_LABELS {
            label.clone()
        } else {
            ReuseLabel {
                organisation: String::new(),
                label: String::new(),
            }
        };
        self.counts.entry(key).or_default()
    }
}
