//! Simulates a load on a model of engines, fronts and callers, with and without
//! mechanisms of the product:
//! `cargo run --release -p pitchhitch-testbed --example load_lab -- --load FILE
//! [--without MECHANISM]... [--each] [--seeds 1..20] [--svg OUT.svg]`

mod comparison_table;
mod lab_options;
mod on_time_plot;
mod setting_runs;

use {
    comparison_table::comparison_table,
    lab_options::LabOptions,
    on_time_plot::draw_on_time,
    pitchhitch_testbed::load_model::{load_table, LoadFile},
    setting_runs::SettingRuns,
    std::env,
};

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = env::args().skip(1).collect();
    let options = LabOptions::parse(&args)?;
    let load = LoadFile::read(&options.load)?;
    let settings = options.settings().into_iter();
    let run = |disabled| SettingRuns::run(&load, &options.seeds, disabled);
    let runs: Vec<SettingRuns> = settings.map(run).collect();
    if options.compares_each {
        print!("{}", comparison_table(&load, &runs));
    } else {
        for setting in &runs {
            println!("{}, {} seeds", setting.name, setting.tallies.len());
            println!("{}", load_table(&load, &setting.tallies));
        }
    }
    if let Some(out) = &options.svg {
        draw_on_time(out, &load, &runs)?;
    }
    Ok(())
}
