//! At-most-once execution of requests with an idempotency key.

mod idempotency_guard;
mod intent_row;

pub use {idempotency_guard::*, intent_row::*};
