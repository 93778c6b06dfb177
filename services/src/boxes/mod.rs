//! The box list.

mod box_client;
mod box_row;

pub use {box_client::*, box_row::*};
