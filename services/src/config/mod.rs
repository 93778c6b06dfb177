//! The configuration, stored in the table and the object store.

mod change_outcome;
mod config_store;

pub use {change_outcome::*, config_store::*};
