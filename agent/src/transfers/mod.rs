//! Transfers of cached KV pieces between the engine and store boxes.

mod piece_transfers;

pub use piece_transfers::*;
