//! HTTP calls with a time limit.

mod call_error;
mod service_client;

pub use {call_error::*, service_client::*};
