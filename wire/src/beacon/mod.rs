//! Beacons: small messages by UDP, with a keyed hash and a counter.

mod beacon_key;
mod beacon_socket;
mod sealed_beacon;

pub use {beacon_key::*, beacon_socket::*, sealed_beacon::*};
