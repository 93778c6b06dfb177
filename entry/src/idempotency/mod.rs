//! Requests that may run at most once, by idempotency key.

mod idempotency_guard;
mod intent_row;

pub use {idempotency_guard::*, intent_row::*};
