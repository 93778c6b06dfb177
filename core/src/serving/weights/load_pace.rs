use crate::time::Micros;

/// How long the loads of a service take. Engines share what their loads need, and an engine loads
/// the weights that are the newest when it is ordered to.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadPace {
    shortest: Micros,
    latest: Micros,
    /// Loads in progress when that one began, itself included.
    at_start: usize,
    /// The same when it ended.
    at_end: usize,
}

impl LoadPace {
    /// Pace after the first load.
    pub fn new(
        took: Micros,
        at_start: usize,
        at_end: usize,
    ) -> LoadPace {
        LoadPace {
            shortest: took,
            latest: took,
            at_start,
            at_end,
        }
    }

    /// Records a load that has ended.
    pub fn record_load(
        &mut self,
        took: Micros,
        at_start: usize,
        at_end: usize,
    ) {
        self.shortest = self.shortest.min(took);
        self.latest = took;
        self.at_start = at_start;
        self.at_end = at_end;
    }

    /// Number of concurrent loads that leave half of `limit` to use the weights, if newer ones are
    /// published right after the order. More loads would only take longer. Loads that take long
    /// however few they are have twice the time of the shortest. One more may load after a load that
    /// did not take too long: the first of several that begin together were not held up by the rest.
    pub fn max_loads(
        &self,
        limit: Micros,
    ) -> usize {
        let target = (limit.0 / 2).max(2 * self.shortest.0);
        let sustained = (self.at_start as u64 * target / self.latest.0.max(1)) as usize;
        match self.latest.0 <= target {
            true => sustained.max(self.at_end + 1),
            false => sustained,
        }
    }
}
