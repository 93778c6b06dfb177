//! Store boxes, which cache pieces of prompt state in memory and on disk.

mod piece_record;
mod store_client;
mod store_error;

pub use {piece_record::*, store_client::*, store_error::*};
