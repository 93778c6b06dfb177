use {hdrhistogram::Histogram, std::time::Duration};

/// Results of a replay.
#[derive(Debug, Clone)]
pub struct ReplayResult {
    /// Times to first token of prompts, in microseconds.
    pub first_token: Histogram<u64>,
    /// Requests with a correct response.
    pub correct: u64,
    /// Responses that were wrong or belong to another request, and truncated responses
    /// of services.
    pub wrong: u64,
    /// Repeatable requests without a complete response.
    pub lost: u64,
    /// Requests that failed with the statement that they did not run.
    pub not_run: u64,
    /// Non-repeatable requests that failed and may have run.
    pub unknown: u64,
    /// Description of the first failure.
    pub first_problem: Option<String>,
}

/// Precision of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

impl Default for ReplayResult {
    fn default() -> Self {
        let first_token = Histogram::new(SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!("3 significant digits are valid"));
        ReplayResult {
            first_token,
            correct: 0,
            wrong: 0,
            lost: 0,
            not_run: 0,
            unknown: 0,
            first_problem: None,
        }
    }
}

impl ReplayResult {
    /// Records a time to first token.
    pub fn record_first_token(
        &mut self,
        span: Duration,
    ) {
        // The histogram resizes itself, so recording never fails.
        let _ = self.first_token.record(span.as_micros() as u64);
    }

    /// Records the description of a failure if it is the first.
    pub fn record_problem(
        &mut self,
        text: String,
    ) {
        self.first_problem.get_or_insert(text);
    }

    /// Quantile of the time to first token, in milliseconds.
    pub fn first_token_ms(
        &self,
        quantile: f64,
    ) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Whether no response was wrong and no repeatable request was lost.
    pub fn passed(&self) -> bool {
        self.wrong == 0 && self.lost == 0
    }
}
