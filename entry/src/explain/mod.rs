//! Why a request went where it went.

mod decision_record;
mod decision_ring;

pub use {decision_record::*, decision_ring::*};
