//! Test environment: stand-ins for the systems that pitchhitch works with, a fault
//! proxy, request traces and their replay. Not part of the shipped binaries.

pub mod check;
pub mod deploy;
pub mod engine;
pub mod fakes;
pub mod load_model;
pub mod proxy;
pub mod replay;
pub mod trace;
