use crate::time::Micros;

/// Length of the periods of which the highest count is kept.
const PERIOD: Micros = Micros::from_secs(2);

/// Number of running fronts, as the engine agents report it.
///
/// An agent that has just started, or is cut off from some fronts, counts too few. The highest of
/// the recent counts is therefore used where fronts share out a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FrontCount {
    period: u64,
    current: u32,
    previous: u32,
}

impl FrontCount {
    /// Records the count of an agent.
    pub fn record(
        &mut self,
        fronts: u32,
        now: Micros,
    ) {
        let period = now.0 / PERIOD.0;
        if period > self.period {
            self.period = period;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current = self.current.max(fronts);
    }

    /// Highest count of the last two to four seconds in which there were any; `None` without any.
    pub fn highest(&self) -> Option<u32> {
        let highest = self.current.max(self.previous);
        (highest > 0).then_some(highest)
    }
}
