//! The callers' side over HTTP.

mod caller_server;

pub use caller_server::*;
