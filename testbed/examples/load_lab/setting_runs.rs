use {
    pitchhitch_core::serving::ServingMechanism,
    pitchhitch_testbed::load_model::{simulate_load, LoadFile, LoadTally},
    std::thread,
};

/// Limit on simulation threads, since the machine is shared.
const MAX_THREADS: usize = 4;

/// The runs of a load in one setting.
pub struct SettingRuns {
    /// Name of the setting.
    pub name: String,
    /// Results in the order of the seeds.
    pub tallies: Vec<LoadTally>,
}

impl SettingRuns {
    /// Simulates a load with each seed.
    pub fn run(
        load: &LoadFile,
        seeds: &[u64],
        disabled: Option<ServingMechanism>,
    ) -> Self {
        let name = disabled.map_or_else(
            || "whole".to_string(),
            |mechanism| format!("without {}", mechanism.name()),
        );
        SettingRuns {
            name,
            tallies: run_seeds(load, seeds, disabled),
        }
    }
}

fn run_seeds(
    load: &LoadFile,
    seeds: &[u64],
    disabled: Option<ServingMechanism>,
) -> Vec<LoadTally> {
    let run = |seed: &u64| simulate_load(load, *seed, disabled);
    let part = seeds.len().div_ceil(MAX_THREADS).max(1);
    thread::scope(|scope| {
        let parts = seeds.chunks(part);
        let handles = parts.map(|part| scope.spawn(move || part.iter().map(run).collect()));
        let handles: Vec<_> = handles.collect();
        let results = handles.into_iter().map(|handle| handle.join());
        let tallies: Vec<Vec<LoadTally>> = results
            .map(|result| result.expect("a simulation thread panicked"))
            .collect();
        tallies.concat()
    })
}
