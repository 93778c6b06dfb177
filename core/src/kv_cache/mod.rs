//! Kept prompt state: how pieces are named and who holds them.

mod piece_directory;
mod piece_key;
mod prefix_keys;
mod store_tier;

pub use {piece_directory::*, piece_key::*, prefix_keys::*, store_tier::*};
