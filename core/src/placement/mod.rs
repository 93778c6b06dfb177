//! Which kept state is worth its room and its link, and which weights are loaded where.

mod retention_decision;
mod reuse_model;
mod store_inventory;
mod weight_load_planner;

pub use {retention_decision::*, reuse_model::*, store_inventory::*, weight_load_planner::*};
