//! The HTTP server for operators and peers.

mod operator_server;
mod status_report;

pub use {operator_server::*, status_report::*};
