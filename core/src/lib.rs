//! Every decision of pitchhitch, without I/O.
//!
//! Nothing in this crate opens a socket, reads a clock or starts a thread: the
//! current time, events and a seed go in, typed actions come out. Any host can
//! drive it: the two binaries, a test or a bench.

pub mod conf;
pub mod drain;
pub mod errors;
pub mod kv_cache;
pub mod labels;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod placement;
pub mod retry;
pub mod role;
pub mod route;
pub mod serving;
pub mod settings;
pub mod time;
