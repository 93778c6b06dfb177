//! The process beside each endpoint: the gate for its requests, the fence for
//! its orders and the carrier of its kept pieces.

pub mod beacons;
pub mod beside;
pub mod cli;
pub mod conf;
pub mod control;
pub mod endpoint;
pub mod gate;
pub mod links;
pub mod tasks;
pub mod transfers;
