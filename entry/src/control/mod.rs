//! The control thread, which owns the control state of an entry process, and the
//! controllers that send it events.

mod agent_calls;
mod beacon_controller;
mod box_controller;
mod config_controller;
mod control_handle;
mod control_loop;
mod lease_controller;
mod link_supervisor;
mod view_publisher;

pub use {
    agent_calls::*, beacon_controller::*, box_controller::*, config_controller::*,
    control_handle::*, control_loop::*, lease_controller::*, link_supervisor::*, view_publisher::*,
};
