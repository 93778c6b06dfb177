//! The closed list of error kinds and the table from kind to answer.

mod answer_row;
mod error_kind;
mod run_state;

pub use {answer_row::*, error_kind::*, run_state::*};
