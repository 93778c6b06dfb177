use super::{stable_fraction, ProvenTable};

/// Fronts that read a table of the platform's store all the time, about: two must, and any may
/// end.
const FIRST_READERS: f64 = 3.0;
/// Those that read it where the first ones do not.
const SECOND_READERS: f64 = 12.0;

/// How soon a front reads a table of the platform's store itself, where others read it too.
///
/// Each draws by its own number, so nobody has to be chosen, and nobody is missed. Few fronts all
/// read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReaderTier {
    /// All the time.
    First,
    /// Where what it is told is a little old.
    Second,
    /// Where what it is told is old.
    Last,
}

impl ReaderTier {
    /// The tier of a front of so many; `draw`, from 0 to 1, is its own number.
    pub fn of(
        draw: f64,
        fronts: u32,
    ) -> Self {
        let place = draw * f64::from(fronts);
        match place {
            place if place < FIRST_READERS => ReaderTier::First,
            place if place < SECOND_READERS => ReaderTier::Second,
            _ => ReaderTier::Last,
        }
    }

    /// Age at which it reads itself, in hundredths of the time between two readings of the
    /// first ones.
    pub fn patience(self) -> u64 {
        match self {
            ReaderTier::First => 0,
            ReaderTier::Second => 180,
            ReaderTier::Last => 200,
        }
    }
}

/// The number by which a front draws its tier for a table: tables have readers of their own.
pub fn reader_draw(
    box_id: &str,
    table: ProvenTable,
) -> f64 {
    stable_fraction(&format!("{table:?} {box_id}"))
}
