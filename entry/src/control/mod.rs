//! The one thread that holds the control state of an entry process, with the
//! controllers that feed it.

mod beacon_controller;
mod box_controller;
mod call_controller;
mod config_controller;
mod control_handle;
mod control_loop;
mod lease_controller;
mod link_keeper;
mod view_publisher;

pub use {
    beacon_controller::*, box_controller::*, call_controller::*, config_controller::*,
    control_handle::*, control_loop::*, lease_controller::*, link_keeper::*, view_publisher::*,
};
