use crate::serving::{stable_fraction, ProvenTable};

/// Approximate number of fronts that read a table of the platform store continuously: two are
/// required, and any of them may stop.
const FIRST_READERS: f64 = 3.0;
/// Number of fronts, including the first ones, that read it if the first ones do not.
const SECOND_READERS: f64 = 12.0;

/// How soon a front reads a table of the platform store itself when other fronts read it too.
///
/// Each front derives its tier from a hash of its box id, so no election is needed and no failed
/// front has to be detected. In a small fleet all fronts read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReaderTier {
    /// Reads continuously.
    First,
    /// Reads when the reports it receives are slightly old.
    Second,
    /// Reads when the reports it receives are old.
    Last,
}

impl ReaderTier {
    /// Tier of a front in a fleet of `fronts`; see [`reader_fraction`] for `fraction`.
    pub fn from_fraction(
        fraction: f64,
        fronts: u32,
    ) -> Self {
        let position = fraction * f64::from(fronts);
        match position {
            position if position < FIRST_READERS => ReaderTier::First,
            position if position < SECOND_READERS => ReaderTier::Second,
            _ => ReaderTier::Last,
        }
    }

    /// Age of the reports at which the front reads the table itself, in percent of the time
    /// between two reads of the first tier.
    pub fn max_age_percent(self) -> u64 {
        match self {
            ReaderTier::First => 0,
            ReaderTier::Second => 180,
            ReaderTier::Last => 200,
        }
    }
}

/// Fraction from 0 to below 1 from which a front derives its tier for a table. It depends on the
/// table, so that the reads of all tables are spread over the fronts.
pub fn reader_fraction(
    box_id: &str,
    table: ProvenTable,
) -> f64 {
    stable_fraction(&format!("{table:?} {box_id}"))
}
