//! Which kept state is worth its room and its link, and which weights are loaded where.

mod load_planner;
mod retention_decision;
mod return_model;
mod store_ledger;

pub use {load_planner::*, retention_decision::*, return_model::*, store_ledger::*};
