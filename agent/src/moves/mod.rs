//! Moving kept pieces between the engine and store boxes.

mod piece_mover;

pub use piece_mover::*;
