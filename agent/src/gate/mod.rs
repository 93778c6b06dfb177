//! Running a request: admission by the gate, forwarding to the endpoint and relaying the
//! response.

mod gate_context;
mod request_runner;

pub use {gate_context::*, request_runner::*};
