//! Encoding of messages: a version byte, a length and a body in bincode.

mod frame_codec;
mod frame_error;

pub use {frame_codec::*, frame_error::*};
