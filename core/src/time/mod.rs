//! Time as the decisions see it: a number of microseconds handed in by the host.

mod micros;

pub use micros::*;
