//! Which kept state is worth its room and its link, and which weights are loaded where.

mod keep_decision;
mod load_planner;
mod return_model;
mod store_ledger;

pub use {keep_decision::*, load_planner::*, return_model::*, store_ledger::*};
