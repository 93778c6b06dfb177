/// Weight of one prompt in the shares: ranks out of use for some two hundred
/// prompts are forgotten. By judgement.
const SHARE_SMOOTHING: f64 = 0.01;
/// Share from which a rank counts as served. One prompt alone stays below it.
const MIN_SHARE: f64 = 0.05;

/// Which part of the prompts each rank makes up; the higher the rank, the less
/// urgent.
#[derive(Debug, Clone, Default)]
pub struct PriorityShares {
    shares: [f64; 10],
}

impl PriorityShares {
    /// Notes a prompt of a rank.
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

    /// The least urgent rank that makes up more than a trace.
    pub fn least_urgent(&self) -> u8 {
        let is_common = |share: &f64| *share >= MIN_SHARE;
        self.shares.iter().rposition(is_common).unwrap_or(0) as u8
    }
}
