//! The binary `pitchhitch`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    pitchhitch_entry::cli::run(&args)
}
