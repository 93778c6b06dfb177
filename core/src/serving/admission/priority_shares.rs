/// Weight of one prompt in the shares; a priority that has been unused for some two hundred prompts
/// is forgotten.
const SHARE_SMOOTHING: f64 = 0.01;
/// Share above which a priority counts as in use. A single prompt stays below it.
const MIN_SHARE: f64 = 0.05;

/// Moving average of the share of prompts by priority; 0 is the most urgent.
#[derive(Debug, Clone, Default)]
pub struct PriorityShares {
    shares: [f64; 10],
}

impl PriorityShares {
    /// Records a prompt of a priority.
    pub fn record(
        &mut self,
        priority: u8,
    ) {
        let index = usize::from(priority).min(self.shares.len() - 1);
        if self.shares.iter().all(|share| *share <= 0.0) {
            self.shares[index] = 1.0;
            return;
        }
        for (position, share) in self.shares.iter_mut().enumerate() {
            let sample = if position == index { 1.0 } else { 0.0 };
            *share += SHARE_SMOOTHING * (sample - *share);
        }
    }

    /// Whether a priority is in use.
    pub fn is_in_use(
        &self,
        priority: u8,
    ) -> bool {
        let share = self.shares.get(usize::from(priority));
        share.is_some_and(|share| *share >= MIN_SHARE)
    }

    /// The least urgent priority in use.
    pub fn least_urgent(&self) -> u8 {
        let is_common = |share: &f64| *share >= MIN_SHARE;
        self.shares.iter().rposition(is_common).unwrap_or(0) as u8
    }
}
