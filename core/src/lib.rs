//! The decision logic of pitchhitch, without I/O.
//!
//! Nothing in this crate opens a socket, reads a clock or starts a thread. The host
//! passes in the current time, events and a random seed, and executes the typed
//! actions that are returned. Hosts are the two binaries, tests and benchmarks.

pub mod conf;
pub mod dissemination;
pub mod drain;
pub mod errors;
pub mod kv_cache;
pub mod labels;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod place;
pub mod retry;
pub mod role;
pub mod rollout;
pub mod route;
pub mod serving;
pub mod settings;
pub mod time;
