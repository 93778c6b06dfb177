//! The closed list of error kinds and the response to each of them.

mod error_kind;
mod error_response;
mod run_state;

pub use {error_kind::*, error_response::*, run_state::*};
