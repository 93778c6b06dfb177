//! Links from entry processes.

mod link_listener;

pub use link_listener::*;
