//! Chores of the control thread: orders, cache lists and the lease epoch.

mod task_runner;

pub use task_runner::*;
