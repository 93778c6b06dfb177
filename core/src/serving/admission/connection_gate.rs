use crate::time::Micros;

/// Delay of a timer from which the process counts as overloaded. One whose processor time is a quota
/// per tenth of a second is up to that late without being overloaded.
const LATE_DELAY: Micros = Micros::from_millis(150);
/// Fraction of new connections by which the excess changes with each observed delay.
const RAISE_STEP: f64 = 0.1;
const LOWER_STEP: f64 = 0.05;
/// Excess for which nothing is refused: a single late timer is a pause of the process, not overload.
const TOLERATED_EXCESS: f64 = RAISE_STEP;
/// Highest fraction that is refused: a box that is in service always accepts some.
const MAX_REFUSED_FRACTION: f64 = 0.8;

/// Decides which new connections a box accepts while it cannot keep up with its requests.
///
/// A connection that is closed unread costs its caller a round trip, as the next one meets another
/// box; a request that waits here until it is read may miss its deadline.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ConnectionGate {
    /// Fraction of new connections that the box cannot handle, as its late timers show.
    excess: f64,
    /// Refused fractions of the connections since the last refused one.
    accumulated: f64,
}

impl ConnectionGate {
    /// Records by how much a timer of the process was late; true if the gate starts to refuse
    /// connections or stops.
    pub fn record_delay(
        &mut self,
        delay: Micros,
    ) -> bool {
        let was_open = self.is_open();
        self.excess = match delay >= LATE_DELAY {
            true => (self.excess + RAISE_STEP).min(TOLERATED_EXCESS + MAX_REFUSED_FRACTION),
            false => (self.excess - LOWER_STEP).max(0.0),
        };
        self.is_open() != was_open
    }

    /// Whether all connections are accepted.
    pub fn is_open(&self) -> bool {
        self.refused_fraction() <= 0.0
    }

    /// Whether the next connection is accepted.
    pub fn admits(&mut self) -> bool {
        self.accumulated += self.refused_fraction();
        let is_refused = self.accumulated >= 1.0;
        if is_refused {
            self.accumulated -= 1.0;
        }
        !is_refused
    }

    fn refused_fraction(&self) -> f64 {
        (self.excess - TOLERATED_EXCESS).max(0.0)
    }
}
