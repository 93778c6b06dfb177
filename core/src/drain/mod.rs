//! When an endpoint may be stopped.

mod drain_state;

pub use drain_state::*;
