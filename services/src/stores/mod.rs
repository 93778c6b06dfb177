//! Store boxes: memory and disk for kept pieces.

mod piece_record;
mod store_client;
mod store_error;

pub use {piece_record::*, store_client::*, store_error::*};
