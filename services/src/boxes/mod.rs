//! The box list.

mod box_client;
mod box_record;

pub use {box_client::*, box_record::*};
