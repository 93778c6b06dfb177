//! Small stand-ins for the systems that pitchhitch serves with, a fault proxy,
//! traces and their replay. Not shipped.

pub mod check;
pub mod deploy;
pub mod engine;
pub mod fakes;
pub mod load_model;
pub mod proxy;
pub mod replay;
pub mod trace;
