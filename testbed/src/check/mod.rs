//! Exhaustive checks of protocols on small instances.

mod lease_world;

pub use lease_world::*;
