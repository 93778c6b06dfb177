//! Small deployments: processes of the two real binaries that use stand-ins for
//! the platform, the engines and the services.

mod address_block;
mod child_engine;
mod child_process;
mod deployed_endpoint;
mod deployment;
mod deployment_shape;
mod entry_box;
mod fake_agents;
mod fork_lock;
mod free_ports;
mod platform_setup;
mod program_set;
mod test_helpers;

pub use {
    address_block::*, child_engine::*, child_process::*, deployed_endpoint::*, deployment::*,
    deployment_shape::*, entry_box::*, fake_agents::*, fork_lock::*, free_ports::*, program_set::*,
};
