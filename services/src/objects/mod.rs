//! The object store.

mod object_client;

pub use object_client::*;
