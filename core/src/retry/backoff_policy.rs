use {crate::time::Micros, rand::Rng};

/// Exponential back-off with a cap and jitter over the upper half of each delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// Upper bound of the first delay.
    pub base: Micros,
    /// Upper bound of all delays.
    pub cap: Micros,
}

impl BackoffPolicy {
    /// For calls to the platform.
    pub const PLATFORM: BackoffPolicy = BackoffPolicy {
        base: Micros::from_millis(50),
        cap: Micros::from_secs(5),
    };
    /// For connections between pitchhitch processes.
    pub const LINK: BackoffPolicy = BackoffPolicy {
        base: Micros::from_millis(20),
        cap: Micros::from_secs(2),
    };

    /// Random delay for attempt number `attempt`, counted from one.
    pub fn delay(
        &self,
        attempt: u32,
        random: &mut impl Rng,
    ) -> Micros {
        let doublings = attempt.saturating_sub(1).min(20);
        let ceiling = self.base.0.saturating_mul(1 << doublings).min(self.cap.0);
        Micros(random.gen_range(ceiling / 2..=ceiling))
    }
}
