//! Server for the links of entry processes.

mod link_listener;

pub use link_listener::*;
