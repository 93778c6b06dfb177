//! The control thread, which owns the agent's state machine.

mod agent_view;
mod control_handle;
mod control_loop;
mod subscriber_set;

pub use {agent_view::*, control_handle::*, control_loop::*, subscriber_set::*};
