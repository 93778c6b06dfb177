use {
    serde::{Deserialize, Serialize},
    std::ops::{Add, Sub},
};

/// A point in time or a duration, in microseconds.
///
/// The host chooses the origin; only differences and ordering are used.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Micros(pub u64);

impl Micros {
    /// The origin of the host's clock.
    pub const ZERO: Micros = Micros(0);

    /// A duration of whole milliseconds, saturating.
    pub const fn from_millis(millis: u64) -> Self {
        Micros(millis.saturating_mul(1_000))
    }

    /// A duration of whole seconds, saturating.
    pub const fn from_secs(secs: u64) -> Self {
        Micros(secs.saturating_mul(1_000_000))
    }

    /// This duration in seconds, with fractions.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later.
    pub const fn since(
        self,
        earlier: Micros,
    ) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(
        self,
        other: Micros,
    ) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;

    fn sub(
        self,
        other: Micros,
    ) -> Micros {
        self.since(other)
    }
}
