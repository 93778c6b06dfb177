//! Measures the cost of each mechanism at four or more sizes and prints the fitted
//! slope, the fit error and the measured range: as JSON with `--json`, otherwise as
//! the table in `docs/CAPACITY.md`.

mod config_slopes;
mod core_fixture;
mod message_slopes;
mod piece_slopes;
mod request_slopes;
mod slope_row;

use {
    config_slopes::{measure_change_application, measure_changes, measure_organisations},
    message_slopes::{measure_beacons, measure_endpoints},
    piece_slopes::{measure_pieces, print_memory, MEMORY_ROLE},
    request_slopes::measure_requests,
};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.len() == 3 && args[0] == MEMORY_ROLE {
        print_memory(&args[1..]);
        return;
    }
    let mut rows = Vec::new();
    measure_beacons(&mut rows);
    measure_endpoints(&mut rows);
    measure_organisations(&mut rows);
    measure_changes(&mut rows);
    measure_change_application(&mut rows);
    measure_pieces(&mut rows);
    measure_requests(&mut rows);
    if std::env::args().any(|arg| arg == "--json") {
        println!(
            "{}",
            serde_json::to_string_pretty(&rows).unwrap_or_default()
        );
        return;
    }
    println!("| mechanism | slope | base | fit error | measured from | to |");
    println!("|---|---|---|---|---|---|");
    for row in &rows {
        let (first, last) = (row.points[0].size, row.points[row.points.len() - 1].size);
        println!(
            "| {} | {:.3} {} a {} | {:.1} {} | {:.0}% | {first} | {last} |",
            row.mechanism,
            row.slope,
            row.unit,
            row.per,
            row.base,
            row.unit,
            row.fit_error * 100.0
        );
    }
}
