use crate::time::Micros;

/// Weight of one request in the mean sizes of its route.
const SIZE_SMOOTHING: f64 = 0.05;
/// Fraction of the longest time left below which a caller counts as retrying: it has waited, was
/// refused and has less time left.
const RETRY_FRACTION: f64 = 0.97;

/// Statistics of the prompts of one route.
#[derive(Debug, Clone, Default)]
pub struct RouteStats {
    tokens: Option<f64>,
    prefill_tokens: f64,
    longest_time_left: Micros,
}

impl RouteStats {
    /// Records a prompt: its size and how much of it is to be prefilled, in tokens, and the time
    /// left until the caller's deadline.
    pub fn record(
        &mut self,
        tokens: u32,
        prefill_tokens: u32,
        time_left: Micros,
    ) {
        let (tokens, prefill_tokens) = (f64::from(tokens), f64::from(prefill_tokens));
        self.longest_time_left = self.longest_time_left.max(time_left);
        match &mut self.tokens {
            Some(mean) => {
                *mean += (tokens - *mean) * SIZE_SMOOTHING;
                self.prefill_tokens += (prefill_tokens - self.prefill_tokens) * SIZE_SMOOTHING;
            }
            None => {
                self.tokens = Some(tokens);
                self.prefill_tokens = prefill_tokens;
            }
        }
    }

    /// Mean size, in tokens; 1 before the first prompt.
    pub fn mean_tokens(&self) -> f64 {
        self.tokens.unwrap_or(1.0).max(1.0)
    }

    /// Mean number of tokens to prefill.
    pub fn mean_prefill_tokens(&self) -> f64 {
        self.prefill_tokens
    }

    /// Whether a caller with this time left has probably been refused before.
    pub fn is_retry(
        &self,
        time_left: Micros,
    ) -> bool {
        (time_left.0 as f64) < self.longest_time_left.0 as f64 * RETRY_FRACTION
    }
}
