//! Replay of traces against entry processes; every response is checked.

mod caller_client;
mod replay_result;
mod run_metrics;
mod stream_set;
mod trace_replay;

pub use {caller_client::*, replay_result::*, run_metrics::*, stream_set::*, trace_replay::*};
