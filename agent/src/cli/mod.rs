//! Command line of the agent.

mod agent_cli;
mod agent_process;

pub use {agent_cli::*, agent_process::*};
