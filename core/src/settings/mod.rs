//! Checking of settings: every field by itself, all problems at once.

mod settings_errors;
mod settings_reader;

pub use {settings_errors::*, settings_reader::*};
