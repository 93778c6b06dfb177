/// Part of the prompts that may begin late before some are refused; sound seconds
/// show one in twenty. By judgement, as the figures below; 0.1 is not told apart.
const LATE_PART: f64 = 0.2;
/// How far one prompt moves the gauge: a front with 18 prompts a second goes from
/// nothing to half within two seconds where half of them are late.
const STEP: f64 = 0.04;
/// The most that is refused of the least urgent prompts.
const MOST: f64 = 0.9;
/// How much less is refused of a rank for each one that is less urgent.
const RANK_STEP: f64 = 0.5;

/// Which part of the prompts has to be refused, by how late the others begin.
///
/// Engines that are behind show little of it in their reports: what they read for
/// is short, what they run is long. So what counts is what callers see.
#[derive(Debug, Clone, Default)]
pub struct LatenessGauge {
    pressure: f64,
    debts: [f64; 10],
}

impl LatenessGauge {
    /// Notes whether a prompt began in time.
    pub fn note(
        &mut self,
        is_late: bool,
    ) {
        let late = if is_late { 1.0 } else { 0.0 };
        self.pressure = (self.pressure + STEP * (late - LATE_PART)).clamp(0.0, MOST);
    }

    /// Whether the next prompt of a rank is refused; `lowest` is the least urgent
    /// rank that is served.
    pub fn refuses(
        &mut self,
        rank: u8,
        lowest: u8,
    ) -> bool {
        let above = f64::from(lowest.saturating_sub(rank));
        let part = self.pressure - RANK_STEP * above;
        if part <= 0.0 {
            return false;
        }
        // Evenly spread, without chance.
        let debt = &mut self.debts[usize::from(rank.min(9))];
        *debt += part;
        let is_due = *debt >= 1.0;
        if is_due {
            *debt -= 1.0;
        }
        is_due
    }

    /// The part of the least urgent prompts that is refused.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }
}
