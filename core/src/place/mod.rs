//! Which kept state is worth its room and its link, and which weights are loaded where.

mod keep_decision;
mod load_planner;
mod return_model;

pub use {keep_decision::*, load_planner::*, return_model::*};
