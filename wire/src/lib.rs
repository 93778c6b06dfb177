//! Messages between the processes of pitchhitch, the HTTP/2 link that carries them
//! and the UDP socket for beacons.

pub mod beacon;
pub mod codec;
pub mod engine_agent;
pub mod link;
pub mod messages;
