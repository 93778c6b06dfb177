//! Beacons: small UDP messages, authenticated by a keyed hash and protected against
//! replay by a sequence number.

mod beacon_key;
mod beacon_socket;
mod sealed_beacon;

pub use {beacon_key::*, beacon_socket::*, sealed_beacon::*};
