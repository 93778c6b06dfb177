//! Replay of traces against entry processes, with every answer checked.

mod caller_client;
mod replay_result;
mod trace_replay;

pub use {caller_client::*, replay_result::*, trace_replay::*};
