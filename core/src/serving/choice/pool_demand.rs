use crate::{
    serving::{EndpointEntry, EndpointKey},
    time::Micros,
};

/// Least ratio of the mean size of long runs to that of short ones where there are pools. Where
/// sizes differ less, the limit divides prompts of one kind, and fewer engines for each half cost
/// more than the pools gain.
const MIN_SIZE_RATIO: f64 = 7.0;
/// Least share of the runs that are short, and of the memory of runs that is held by long ones, where
/// there are pools: with less of either, few streams are delayed by long prompts.
const MIN_SHORT_RUNS_SHARE: f64 = 0.5;
const MIN_LONG_SHARE: f64 = 0.25;
/// Greatest ratio of the memory of short runs near the limit to that of long ones where there are
/// pools: more of it shows that the limit divides prompts of one kind. Those below it then fill the
/// reserved engines and delay the short streams there.
const MAX_NEAR_LIMIT_RATIO: f64 = 0.25;

/// Demand of one update.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PoolDemand {
    /// Engines that the short prompts would fill.
    pub engines: f64,
    pub mix: RunMix,
}

/// Runs with output and their memory, in tokens, by size class.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunMix {
    pub short_runs: f64,
    short_tokens: f64,
    /// Memory of the short runs whose size is more than half of the limit.
    near_limit_tokens: f64,
    pub long_runs: f64,
    long_tokens: f64,
}

impl RunMix {
    pub fn average(
        &mut self,
        sample: &RunMix,
        smoothing: f64,
    ) {
        let average = |mean: &mut f64, sample: f64| *mean += smoothing * (sample - *mean);
        average(&mut self.short_runs, sample.short_runs);
        average(&mut self.short_tokens, sample.short_tokens);
        average(&mut self.near_limit_tokens, sample.near_limit_tokens);
        average(&mut self.long_runs, sample.long_runs);
        average(&mut self.long_tokens, sample.long_tokens);
    }

    pub fn needs_pools(&self) -> bool {
        let short_size = self.short_tokens / self.short_runs.max(1.0);
        let long_size = self.long_tokens / self.long_runs.max(1.0);
        let runs = self.short_runs + self.long_runs;
        let tokens = self.short_tokens + self.long_tokens;
        long_size > short_size * MIN_SIZE_RATIO
            && self.short_runs > runs * MIN_SHORT_RUNS_SHARE
            && self.long_tokens > tokens * MIN_LONG_SHARE
            && self.near_limit_tokens < self.long_tokens * MAX_NEAR_LIMIT_RATIO
    }
}

/// Demand of all engines together.
pub(super) fn total_demand(
    members: &[(EndpointKey, &EndpointEntry)],
    now: Micros,
) -> PoolDemand {
    let mut demand = PoolDemand::default();
    for (_, entry) in members {
        let load = entry.fresh_load(now).filter(|load| !load.is_silent);
        let Some(load) = load else {
            continue;
        };
        let slots = filled_share(u64::from(load.short_runs), u64::from(entry.slots));
        let memory = filled_share(load.short_tokens, load.total_tokens);
        demand.engines += slots.max(memory);
        let runs = load.running.saturating_sub(load.reading);
        let mix = &mut demand.mix;
        mix.short_runs += f64::from(load.short_runs);
        mix.short_tokens += load.short_tokens as f64;
        mix.near_limit_tokens += load.near_limit_tokens as f64;
        mix.long_runs += f64::from(runs.saturating_sub(load.short_runs));
        mix.long_tokens += load.long_tokens as f64;
    }
    demand
}

/// Share of a capacity that is used, at most 1; 0 if the capacity is unknown.
fn filled_share(
    used: u64,
    capacity: u64,
) -> f64 {
    match capacity {
        0 => 0.0,
        _ => (used as f64 / capacity as f64).min(1.0),
    }
}
