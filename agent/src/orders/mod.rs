//! Chores of the control thread: orders, cache lists and the lease epoch.

mod order_runner;

pub use order_runner::*;
