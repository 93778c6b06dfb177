//! The weight store.

mod weight_client;

pub use weight_client::*;
