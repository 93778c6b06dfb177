//! What operators and peers are told over HTTP.

mod operator_server;
mod status_report;

pub use {operator_server::*, status_report::*};
