//! The HTTP server for callers.

mod caller_server;

pub use caller_server::*;
