//! Which processes and endpoints there are, and which of them are alive.

mod beacon;
mod home_set;
mod peer_table;
mod replay_guard;

pub use {beacon::*, home_set::*, peer_table::*, replay_guard::*};
