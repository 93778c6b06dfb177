//! Telling entry processes that the agent is there.

mod beacon_sender;

pub use beacon_sender::*;
