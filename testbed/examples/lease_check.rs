//! Model check of the lease protocol with more faults and time than in the tests:
//! `lease_check FAULTS UNITS`.

use {
    pitchhitch_core::time::Micros,
    pitchhitch_testbed::check::{check_single_holder, explore_leases, initial_world},
    std::process::ExitCode,
};

/// States after which the check is aborted; they take about 6 GiB of memory.
const STATE_LIMIT: usize = 8_000_000;

fn main() -> ExitCode {
    let mut args = std::env::args()
        .skip(1)
        .map(|text| text.parse().unwrap_or(0));
    let faults = args.next().unwrap_or(1);
    let units = args.next().unwrap_or(4);
    let mut start = initial_world(faults);
    start.run_without_faults(2);
    let end = start.now() + Micros(u64::from(units));
    match explore_leases(start, end, STATE_LIMIT, check_single_holder) {
        Ok(states) => {
            println!("{states} states, {faults} faults, {units} units of time: one holder at most");
            ExitCode::SUCCESS
        }
        Err(text) => {
            eprintln!("{text}");
            ExitCode::FAILURE
        }
    }
}
