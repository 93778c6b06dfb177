//! Settings of the agent.

mod agent_settings;

pub use agent_settings::*;
