//! Messages between the processes of pitchhitch, the h2 link that carries them
//! and the socket for beacons.

pub mod beacon;
pub mod codec;
pub mod engine_agent;
pub mod link;
pub mod messages;
