use {
    crate::{serving::RunProgress, time::Micros},
    std::collections::BTreeMap,
};

/// Shortest and longest time between two reports that are compared. Engines update their reports
/// every 0.2 s; over a longer time most runs of a shorter answer have ended.
const INTERVAL_RANGE: (Micros, Micros) = (Micros::from_millis(400), Micros::from_millis(1_000));

/// Memory of the runs in one report, by a hash of the request's id.
#[derive(Debug, Clone)]
struct RunSizes {
    at: Micros,
    tokens: BTreeMap<u64, u64>,
}

/// Measures how fast the answers of an engine's runs take up memory.
#[derive(Debug, Clone, Default)]
pub struct GrowthTracker {
    before: Option<RunSizes>,
    tokens_per_s: u64,
}

impl GrowthTracker {
    /// Records the runs in a report of time `at`.
    pub fn record_report(
        &mut self,
        runs: &[RunProgress],
        at: Micros,
    ) {
        let elapsed = self.before.as_ref().map(|before| at.since(before.at));
        if elapsed.is_some_and(|elapsed| elapsed < INTERVAL_RANGE.0) {
            return;
        }
        let tokens = runs.iter().map(|run| (run.run, run.tokens)).collect();
        let before = self.before.replace(RunSizes { at, tokens });
        if let Some(before) = before.filter(|before| at.since(before.at) <= INTERVAL_RANGE.1) {
            self.measure(&before, at.since(before.at));
        }
    }

    /// Memory that the answers of all runs take up, in tokens per second.
    pub fn tokens_per_s(&self) -> u64 {
        self.tokens_per_s
    }

    /// Runs that have started since are taken to grow as the others do. Without any run in both
    /// reports the last value stays.
    fn measure(
        &mut self,
        before: &RunSizes,
        elapsed: Micros,
    ) {
        let Some(now) = &self.before else {
            return;
        };
        let grown = now.tokens.iter().filter_map(|(run, tokens)| {
            let tokens_before = before.tokens.get(run)?;
            Some(tokens.saturating_sub(*tokens_before))
        });
        let (runs, tokens) = grown.fold((0, 0), |(runs, sum), tokens| (runs + 1, sum + tokens));
        if runs > 0 {
            let of_all = tokens as f64 * now.tokens.len() as f64 / f64::from(runs);
            self.tokens_per_s = (of_all * 1e6 / elapsed.0 as f64) as u64;
        }
    }
}
