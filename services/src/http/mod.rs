//! HTTP calls with a time limit.

mod call_error;
mod http_caller;

pub use {call_error::*, http_caller::*};
