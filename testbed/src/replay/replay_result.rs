use {hdrhistogram::Histogram, std::time::Duration};

/// What a replay brought.
#[derive(Debug, Clone)]
pub struct ReplayResult {
    /// Times to first token of prompts, in microseconds.
    pub first_token: Histogram<u64>,
    /// Requests that were answered rightly.
    pub correct: u64,
    /// Answers that were wrong, cut off or somebody else's.
    pub wrong: u64,
    /// Repeatable requests without an answer.
    pub lost: u64,
    /// Requests that were refused with proof that they did not run.
    pub not_run: u64,
    /// Not-repeatable requests whose fate the caller was told to be unknown.
    pub unknown: u64,
    /// What went wrong first, for people.
    pub first_problem: Option<String>,
}

/// Digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

impl Default for ReplayResult {
    fn default() -> Self {
        let first_token =
            Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("three digits"));
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
    /// Notes a time to first token.
    pub fn record_first_token(
        &mut self,
        span: Duration,
    ) {
        // The histogram grows as it must, so every value can be recorded.
        let _ = self.first_token.record(span.as_micros() as u64);
    }

    /// Notes something that went wrong.
    pub fn record_problem(
        &mut self,
        text: String,
    ) {
        self.first_problem.get_or_insert(text);
    }

    /// A quantile of the time to first token, in milliseconds.
    pub fn first_token_ms(
        &self,
        quantile: f64,
    ) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Whether no answer was wrong and no repeatable request lost.
    pub fn is_clean(&self) -> bool {
        self.wrong == 0 && self.lost == 0
    }
}
