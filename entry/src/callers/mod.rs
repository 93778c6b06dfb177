//! The HTTP server for callers.

mod caller_server;
mod retrying_server;

pub use {caller_server::*, retrying_server::*};
