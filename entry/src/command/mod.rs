//! The subcommands of `pitchhitch`, one file each.

mod apply;
mod check;
mod command_args;
mod config_access;
mod drain;
mod explain;
mod front;
mod label;
mod select;
mod serve;
mod show;
mod status;
mod suspects;

pub use {
    apply::*, check::*, command_args::*, config_access::*, drain::*, explain::*, front::*,
    label::*, select::*, serve::*, show::*, status::*, suspects::*,
};
