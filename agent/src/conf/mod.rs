//! Settings of an agent.

mod agent_settings;

pub use agent_settings::*;
