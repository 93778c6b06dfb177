//! Settings of an entry process and of the operator commands.

mod entry_settings;
mod operator_settings;

pub use {entry_settings::*, operator_settings::*};
