//! Which processes and endpoints there are, and which of them are alive.

mod beacon;
mod peer_table;
mod rendezvous;
mod replay_guard;

pub use {beacon::*, peer_table::*, rendezvous::*, replay_guard::*};
