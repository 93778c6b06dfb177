/// Ratio of used to fair share above which an organisation is refused. Counts of a few seconds vary
/// by a tenth.
const OVER_SHARE_RATIO: f64 = 1.1;
/// Ratio below which it is admitted before others.
const BELOW_SHARE_RATIO: f64 = 0.5;
/// Ratio of an organisation's served fraction to the mean one from which it is no longer admitted
/// before others: without it, the smallest were served three times as often as the largest.
const MAX_FAVOURED_RATIO: f64 = 1.2;
/// Number of prompts that a front must have admitted for an organisation within a second before its
/// own counts alone, without reports of others, are evidence against it.
const MIN_OWN_PROMPTS: f64 = 1.0;

/// Share of an organisation, in tokens of memory per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemoryShare {
    /// What it may take; infinite without a limit.
    pub limit: f64,
    /// What it has recently taken.
    pub used: f64,
    /// Fraction of its demand that it got, divided by the mean of all organisations.
    pub served_ratio: f64,
    /// Whether counts of other fronts were used.
    pub has_reports: bool,
}

impl MemoryShare {
    /// Whether the organisation is refused before others. `tokens` is the size of its prompts.
    pub fn is_over(
        &self,
        tokens: f64,
    ) -> bool {
        let has_evidence = self.has_reports || self.used >= tokens * MIN_OWN_PROMPTS;
        has_evidence && self.used > self.limit * OVER_SHARE_RATIO
    }

    /// Whether the organisation is admitted before others.
    pub fn is_below(&self) -> bool {
        let is_below = self.limit.is_finite() && self.used < self.limit * BELOW_SHARE_RATIO;
        is_below && self.served_ratio < MAX_FAVOURED_RATIO
    }
}
