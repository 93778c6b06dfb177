//! Messages between the processes of pitchhitch, the h2 link that carries them
//! and the socket for beacons.

pub mod beacon;
pub mod beside;
pub mod codec;
pub mod link;
pub mod messages;
