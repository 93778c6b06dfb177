//! Moving a running request from its engine to another one: which runs the agent of an engine names,
//! to which engine a front moves them, and what it does when a step fails.

mod growth_tracker;
mod move_event;
mod move_slots;
mod move_target;
mod named_run;
mod run_move;
mod run_naming;

pub use {
    growth_tracker::*, move_event::*, move_slots::*, move_target::*, named_run::*, run_move::*,
    run_naming::*,
};
