//! Decisions of a front on the users' platform: the route and organisation of a request, the
//! endpoint that receives it, whether it may be retried, and how fresh the state behind these
//! decisions must be.

mod admission;
mod choice;
mod config;
mod kv_stores;
mod membership;
mod message_intervals;
mod moves;
mod origins;
mod stable_hash;
mod store_reads;
mod suspects;
mod weights;

pub use {
    admission::*, choice::*, config::*, kv_stores::*, membership::*, message_intervals::*,
    moves::*, origins::*, stable_hash::*, store_reads::*, suspects::*, weights::*,
};
