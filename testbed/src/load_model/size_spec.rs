use {
    rand::{prelude::Distribution, Rng},
    rand_distr::LogNormal,
    serde::Deserialize,
};

/// A random size in tokens: log-normally distributed and limited to a maximum.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeSpec {
    /// Mean before the limit is applied, in tokens.
    pub mean: f64,
    /// Standard deviation of the natural logarithm; 0 makes all sizes equal.
    #[serde(default)]
    pub spread: f64,
    /// Maximum, in tokens.
    pub max: f64,
}

impl SizeSpec {
    /// Draws a size of at least one token.
    pub fn draw(
        &self,
        random: &mut impl Rng,
    ) -> u32 {
        let middle = self.mean.max(1.0).ln() - self.spread * self.spread / 2.0;
        let size = LogNormal::new(middle, self.spread)
            .map_or(self.mean, |distribution| distribution.sample(random));
        size.clamp(1.0, self.max.max(1.0)) as u32
    }
}
