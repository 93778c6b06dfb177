//! A small deployment: real processes of the two binaries over stand-ins.

mod child_process;
mod deployment;
mod deployment_shape;
mod program_set;

pub use {child_process::*, deployment::*, deployment_shape::*, program_set::*};
