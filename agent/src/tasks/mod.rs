//! Tasks of the control thread: orders, cache listings and reads of the lease epoch.

mod task_runner;

pub use task_runner::*;
