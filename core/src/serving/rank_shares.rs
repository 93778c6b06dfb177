/// Weight of one prompt in the shares: ranks out of use for some two hundred
/// prompts are forgotten. By judgement.
const SHARE_STEP: f64 = 0.01;
/// Share from which a rank counts as served. One prompt alone stays below it.
const LEAST_SHARE: f64 = 0.05;

/// Which part of the prompts each rank makes up; the higher the rank, the less
/// urgent.
#[derive(Debug, Clone, Default)]
pub struct RankShares {
    shares: [f64; 10],
}

impl RankShares {
    /// Notes a prompt of a rank.
    pub fn note(
        &mut self,
        rank: u8,
    ) {
        let place = usize::from(rank).min(self.shares.len() - 1);
        if self.shares.iter().all(|share| *share <= 0.0) {
            self.shares[place] = 1.0;
            return;
        }
        for (number, share) in self.shares.iter_mut().enumerate() {
            let seen = if number == place { 1.0 } else { 0.0 };
            *share += SHARE_STEP * (seen - *share);
        }
    }

    /// The least urgent rank that makes up more than a trace.
    pub fn lowest(&self) -> u8 {
        let common = |share: &f64| *share >= LEAST_SHARE;
        self.shares.iter().rposition(common).unwrap_or(0) as u8
    }
}
