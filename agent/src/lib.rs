//! The agent, a process that runs next to each endpoint: it admits the endpoint's requests,
//! fences its orders and transfers its cached KV pieces from and to store boxes.

pub mod beacons;
pub mod cli;
pub mod conf;
pub mod control;
pub mod endpoint;
pub mod engine_agent;
pub mod gate;
pub mod links;
pub mod tasks;
pub mod transfers;
