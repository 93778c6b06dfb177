//! Membership of entry processes and endpoints, learned from their beacons.

mod beacon;
mod peer_table;
mod rendezvous;
mod replay_guard;

pub use {beacon::*, peer_table::*, rendezvous::*, replay_guard::*};
