//! The process beside each endpoint: the gate for its requests, the fence for
//! its orders and the carrier of its kept pieces.

pub mod beacons;
pub mod cli;
pub mod conf;
pub mod control;
pub mod endpoint;
pub mod engine_agent;
pub mod gate;
pub mod links;
pub mod transfers;
pub mod tasks;
