//! Operating-system support shared by all processes: clock, timers, logging, metrics, signal
//! handling and task execution.

mod bounded_output;
mod deadline_timer;
mod log_setup;
mod metric_set;
mod process_clock;
mod process_usage;
mod signal_listener;
mod task_pool;
mod wake_signal;

pub use {
    deadline_timer::*, log_setup::*, metric_set::*, process_clock::*, process_usage::*,
    signal_listener::*, task_pool::*, wake_signal::*,
};
