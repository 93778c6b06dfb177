//! Kept prompt state: how pieces are named and who holds them.

mod piece_directory;
mod piece_key;
mod prefix_chain;
mod store_tier;

pub use {piece_directory::*, piece_key::*, prefix_chain::*, store_tier::*};
