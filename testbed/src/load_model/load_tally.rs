use {super::RequestOutcome, hdrhistogram::Histogram};

/// Upper bound of the histogram of first-token times, in milliseconds.
const MAX_FIRST_TOKEN_MS: u64 = 600_000;

/// Counts of one kind of request, by the second of the caller's first try.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SecondTally {
    /// Requests whose callers did not leave.
    pub eligible: u32,
    /// Those of them that were answered on time.
    pub on_time: u32,
}

/// Counts of one kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct KindTally {
    /// Requests; retries of a caller are not counted again.
    pub requests: u32,
    /// Answered on time.
    pub on_time: u32,
    /// Answered, but late.
    pub late: u32,
    /// Refused, also on retry.
    pub refused: u32,
    /// Neither answered nor refused.
    pub failed: u32,
    /// Abandoned by their callers.
    pub abandoned: u32,
    /// Answered after one refusal and a retry.
    pub retried: u32,
    /// Times to the first token of answered requests, in milliseconds.
    pub first_ms: Histogram<u64>,
    /// Counts by the second in which requests were first sent.
    pub seconds: Vec<SecondTally>,
}

impl Default for KindTally {
    fn default() -> Self {
        KindTally {
            requests: 0,
            on_time: 0,
            late: 0,
            refused: 0,
            failed: 0,
            abandoned: 0,
            retried: 0,
            first_ms: Histogram::new_with_max(MAX_FIRST_TOKEN_MS, 3)
                .expect("bounds of a histogram"),
            seconds: Vec::new(),
        }
    }
}

impl KindTally {
    /// Records the outcome of a request that was first sent in a given second.
    pub fn record(
        &mut self,
        outcome: RequestOutcome,
        second: usize,
    ) {
        let count = match outcome {
            RequestOutcome::OnTime => &mut self.on_time,
            RequestOutcome::Late => &mut self.late,
            RequestOutcome::Refused => &mut self.refused,
            RequestOutcome::Failed => &mut self.failed,
            RequestOutcome::Abandoned => &mut self.abandoned,
        };
        *count += 1;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondTally::default());
        }
        let tally = &mut self.seconds[second];
        tally.eligible += u32::from(outcome != RequestOutcome::Abandoned);
        tally.on_time += u32::from(outcome == RequestOutcome::OnTime);
    }

    /// Requests whose callers did not leave.
    pub fn eligible(&self) -> u32 {
        self.requests - self.abandoned
    }

    /// Fraction of them that was answered on time; 1 if there were none.
    pub fn on_time_fraction(&self) -> f64 {
        match self.eligible() {
            0 => 1.0,
            eligible => f64::from(self.on_time) / f64::from(eligible),
        }
    }
}

/// Results of a load under one seed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadTally {
    /// Counts by kind.
    pub kinds: Vec<KindTally>,
    /// Tokens of shared parts that were prefilled although an engine had used them recently.
    pub prefilled_again: u64,
    /// Tokens of shared parts that were fetched.
    pub fetched_tokens: u64,
    /// Preemptions of running requests.
    pub preemptions: u32,
    /// Attempts sent to engines.
    pub attempts: u32,
}
