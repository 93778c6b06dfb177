//! Which KV state is retained on store boxes, and which engines load which weights.

mod retention_decision;
mod reuse_model;
mod store_inventory;
mod weight_load_planner;

pub use {retention_decision::*, reuse_model::*, store_inventory::*, weight_load_planner::*};
