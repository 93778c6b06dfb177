//! HTTP calls with a timeout.

mod call_error;
mod service_client;

pub use {call_error::*, service_client::*};
