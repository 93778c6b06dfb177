//! How messages become bytes: a version, a length and a bincode body.

mod frame_codec;
mod frame_error;

pub use {frame_codec::*, frame_error::*};
