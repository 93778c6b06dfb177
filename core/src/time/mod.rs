//! Time in microseconds, passed in by the host.

mod micros;

pub use micros::*;
