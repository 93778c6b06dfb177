//! The command line of `pitchhitch`.

mod cli_error;
mod command_line;
mod entry_process;

pub use {cli_error::*, command_line::*, entry_process::*};
