//! Clients of the services behind the own interface: table, object store, box list, weight
//! store and store boxes. One folder a service, so that another dialect costs
//! one folder.

pub mod boxes;
pub mod config;
pub mod http;
pub mod objects;
pub mod stores;
pub mod table;
pub mod weights;
