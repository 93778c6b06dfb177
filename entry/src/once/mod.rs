//! Requests that may run at most once, by idempotency key.

mod intent_row;
mod once_gate;

pub use {intent_row::*, once_gate::*};
