//! A small deployment: real processes of the two binaries over stand-ins.

mod child_engine;
mod child_process;
mod deployment;
mod deployment_shape;
mod fake_agents;
mod program_set;
mod test_helpers;

pub use {
    child_engine::*, child_process::*, deployment::*, deployment_shape::*, fake_agents::*,
    program_set::*,
};
