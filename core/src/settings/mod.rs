//! Parsing of settings files. Each field is checked on its own, and all problems are
//! reported together.

mod settings_errors;
mod settings_reader;

pub use {settings_errors::*, settings_reader::*};
