//! Cached KV state of prompts: keys of its pieces and a directory of their holders.

mod piece_directory;
mod piece_key;
mod prefix_chain;
mod store_tier;

pub use {piece_directory::*, piece_key::*, prefix_chain::*, store_tier::*};
