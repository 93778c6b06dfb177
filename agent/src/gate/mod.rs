//! Running one request: through the gate, to the endpoint, and the answer back.

mod gate_context;
mod request_runner;

pub use {gate_context::*, request_runner::*};
