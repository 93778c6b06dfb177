use {
    pitchhitch_core::serving::ServingMechanism,
    pitchhitch_testbed::load_model::{simulate_load, LoadFile, LoadTally},
    std::thread,
};

/// Seeds that are played at once; the machine is shared.
const AT_ONCE: usize = 4;

/// The runs of a load in one setting.
pub struct SettingRuns {
    /// Name of the setting.
    pub name: String,
    /// Runs, in the order of the seeds.
    pub tallies: Vec<LoadTally>,
}

impl SettingRuns {
    /// Plays a load under each seed.
    pub fn play(
        load: &LoadFile,
        seeds: &[u64],
        left_out: Option<ServingMechanism>,
    ) -> Self {
        let name = left_out.map_or_else(
            || "whole".to_string(),
            |mechanism| format!("without {}", mechanism.name()),
        );
        SettingRuns {
            name,
            tallies: play_seeds(load, seeds, left_out),
        }
    }
}

fn play_seeds(
    load: &LoadFile,
    seeds: &[u64],
    left_out: Option<ServingMechanism>,
) -> Vec<LoadTally> {
    let play = |seed: &u64| simulate_load(load, *seed, left_out);
    let part = seeds.len().div_ceil(AT_ONCE).max(1);
    thread::scope(|scope| {
        let parts = seeds.chunks(part);
        let plays = parts.map(|part| scope.spawn(move || part.iter().map(play).collect()));
        let plays: Vec<_> = plays.collect();
        let ends = plays.into_iter().map(|play| play.join());
        let tallies: Vec<Vec<LoadTally>> = ends.map(|end| end.expect("a play ends")).collect();
        tallies.concat()
    })
}
