//! Progress of draining an endpoint before it is stopped.

mod drain_state;

pub use drain_state::*;
