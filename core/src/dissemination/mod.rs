//! Who tells whom: decides which boxes pass the reports of engines on, so that neither the messages
//! of an engine's agent nor the bytes between failure domains grow with the number of fronts.

mod delivery_plan;
mod rendezvous_set;

pub use {delivery_plan::*, rendezvous_set::*};
