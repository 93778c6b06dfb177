//! Plays a load on the model of engines, fronts and callers, with and without
//! mechanisms of the product:
//! `cargo run --release -p pitchhitch-testbed --example load_lab -- --load FILE
//! [--without MECHANISM]... [--each] [--seeds 1..20] [--svg OUT.svg]`

mod aim_plot;
mod each_table;
mod lab_options;

use {
    aim_plot::{draw_aims, AimPanel},
    each_table::each_table,
    lab_options::LabOptions,
    pitchhitch_testbed::load_model::{load_table, play_load, LoadFile, LoadTally, ModelMechanism},
    std::{env, thread},
};

/// Seeds that are played at once; the machine is shared.
const AT_ONCE: usize = 4;

fn play_seeds(
    load: &LoadFile,
    seeds: &[u64],
    left_out: Option<ModelMechanism>,
) -> Vec<LoadTally> {
    let play = |seed: &u64| play_load(load, *seed, left_out);
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

fn setting_name(left_out: Option<ModelMechanism>) -> String {
    left_out.map_or_else(
        || "whole".to_string(),
        |mechanism| format!("without {}", mechanism.name()),
    )
}

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = env::args().skip(1).collect();
    let options = LabOptions::parse(&args)?;
    let load = LoadFile::read(&options.load)?;
    let settings = options.settings();
    let mut panels = Vec::new();
    for left_out in settings {
        let tallies = play_seeds(&load, &options.seeds, left_out);
        panels.push(AimPanel {
            name: setting_name(left_out),
            tallies,
        });
    }
    if options.is_each {
        print!("{}", each_table(&load, &panels));
    } else {
        for panel in &panels {
            println!("{}, {} seeds", panel.name, panel.tallies.len());
            println!("{}", load_table(&load, &panel.tallies));
        }
    }
    if let Some(out) = &options.svg {
        draw_aims(out, &load, &panels)?;
    }
    Ok(())
}
