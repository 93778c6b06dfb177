use {super::RequestOutcome, hdrhistogram::Histogram};

/// The longest time to a first token that is told apart, in milliseconds.
const MAX_FIRST_TOKEN_MS: u64 = 600_000;

/// Counts of one kind of request in one second, by when it was asked first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SecondTally {
    /// Requests whose callers stayed.
    pub eligible: u32,
    /// Those of them that were answered in aim.
    pub on_time: u32,
}

/// Counts of one kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct KindTally {
    /// Requests, each counted once however often its caller came.
    pub requests: u32,
    /// Answered in aim.
    pub on_time: u32,
    /// Answered, but late.
    pub late: u32,
    /// Refused at last.
    pub refused: u32,
    /// Neither answered nor refused.
    pub failed: u32,
    /// Whose callers left.
    pub abandoned: u32,
    /// Answered after they had been refused once.
    pub retried: u32,
    /// Times until the first token, in milliseconds, of those that were answered.
    pub first_ms: Histogram<u64>,
    /// The same by the second in which they were asked.
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
    /// Notes what became of a request that was asked in some second.
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

    /// Requests whose callers stayed.
    pub fn eligible(&self) -> u32 {
        self.requests - self.abandoned
    }

    /// Part of them that was answered in aim; 1 where there were none.
    pub fn on_time_fraction(&self) -> f64 {
        match self.eligible() {
            0 => 1.0,
            eligible => f64::from(self.on_time) / f64::from(eligible),
        }
    }
}

/// What came of a load under one seed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadTally {
    /// Counts by kind.
    pub kinds: Vec<KindTally>,
    /// Tokens of shared parts that were read though some engine had used them lately.
    pub prefilled_again: u64,
    /// Tokens of shared parts that were fetched.
    pub fetched_tokens: u64,
    /// How often a request was put back.
    pub preemptions: u32,
    /// Sends to an engine.
    pub attempts: u32,
}
