//! Beacons that announce the agent to entry processes.

mod beacon_sender;

pub use beacon_sender::*;
