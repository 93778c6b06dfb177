//! Store boxes: memory and disk for kept pieces.

mod store_client;
mod store_error;
mod store_row;

pub use {store_client::*, store_error::*, store_row::*};
