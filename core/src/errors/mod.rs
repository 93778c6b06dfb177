//! The closed list of error kinds and the table from kind to answer.

mod error_kind;
mod error_response;
mod run_state;

pub use {error_kind::*, error_response::*, run_state::*};
