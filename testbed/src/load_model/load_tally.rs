use {super::CallOutcome, hdrhistogram::Histogram};

/// The longest time to a first token that is told apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;

/// Counts of one kind of request in one second, by when it was asked first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SecondTally {
    /// Requests whose callers stayed.
    pub owed: u32,
    /// Those of them that were answered in aim.
    pub in_aim: u32,
}

/// Counts of one kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct KindTally {
    /// Requests, each counted once however often its caller came.
    pub asked: u32,
    /// Answered in aim.
    pub in_aim: u32,
    /// Answered, but late.
    pub late: u32,
    /// Refused at last.
    pub refused: u32,
    /// Neither answered nor refused.
    pub failed: u32,
    /// Whose callers left.
    pub gave_up: u32,
    /// Answered after they had been refused once.
    pub returned: u32,
    /// Times until the first token, in milliseconds, of those that were answered.
    pub first_ms: Histogram<u64>,
    /// The same by the second in which they were asked.
    pub seconds: Vec<SecondTally>,
}

impl Default for KindTally {
    fn default() -> Self {
        KindTally {
            asked: 0,
            in_aim: 0,
            late: 0,
            refused: 0,
            failed: 0,
            gave_up: 0,
            returned: 0,
            first_ms: Histogram::new_with_max(LONGEST_MS, 3).expect("bounds of a histogram"),
            seconds: Vec::new(),
        }
    }
}

impl KindTally {
    /// Notes what became of a request that was asked in some second.
    pub fn note(
        &mut self,
        outcome: CallOutcome,
        second: usize,
    ) {
        let count = match outcome {
            CallOutcome::InAim => &mut self.in_aim,
            CallOutcome::Late => &mut self.late,
            CallOutcome::Refused => &mut self.refused,
            CallOutcome::Failed => &mut self.failed,
            CallOutcome::GaveUp => &mut self.gave_up,
        };
        *count += 1;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondTally::default());
        }
        let tally = &mut self.seconds[second];
        tally.owed += u32::from(outcome != CallOutcome::GaveUp);
        tally.in_aim += u32::from(outcome == CallOutcome::InAim);
    }

    /// Requests whose callers stayed.
    pub fn owed(&self) -> u32 {
        self.asked - self.gave_up
    }

    /// Part of them that was answered in aim; 1 where there were none.
    pub fn aim_part(&self) -> f64 {
        match self.owed() {
            0 => 1.0,
            owed => f64::from(self.in_aim) / f64::from(owed),
        }
    }
}

/// What came of a load under one seed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadTally {
    /// Counts by kind.
    pub kinds: Vec<KindTally>,
    /// Tokens of shared parts that were read though some engine had used them lately.
    pub read_again: u64,
    /// Tokens of shared parts that were fetched.
    pub fetched: u64,
    /// How often a request was put back.
    pub put_back: u32,
    /// Sends to an engine.
    pub sends: u32,
}
