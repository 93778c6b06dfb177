//! Clients of the platform services: table, object store, box list, weight store and store
//! boxes. Each service has its own module, so that supporting another protocol changes only
//! that module.

pub mod boxes;
pub mod config;
pub mod http;
pub mod objects;
pub mod stores;
pub mod table;
pub mod weights;
