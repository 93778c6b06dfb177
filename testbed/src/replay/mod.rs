//! Replay of traces against entry processes, with every answer checked.

mod caller_client;
mod replay_result;
mod run_measures;
mod stream_set;
mod trace_replay;

pub use {caller_client::*, replay_result::*, run_measures::*, stream_set::*, trace_replay::*};
