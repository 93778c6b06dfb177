//! Control state machines of agents and entry processes, without I/O: the host passes in events and
//! executes the returned actions.

mod agent_action;
mod agent_core;
mod agent_event;
mod agent_identity;
mod agent_orders;
mod agent_work;
mod cache_mirror;
mod endpoint_order;
mod endpoint_roster;
mod entry_action;
mod entry_configs;
mod entry_core;
mod entry_event;
mod entry_messages;
mod entry_placement;
mod event_batch;
mod gate_work;
mod prompt_history;
mod roster_change;
mod roster_entry;
mod service_meter;
mod shard_leases;
mod store_roster;
mod weight_load_controller;

pub use {
    agent_action::*, agent_core::*, agent_event::*, agent_identity::*, cache_mirror::*,
    endpoint_order::*, endpoint_roster::*, entry_action::*, entry_core::*, entry_event::*,
    event_batch::*, gate_work::*, prompt_history::*, roster_change::*, roster_entry::*,
    service_meter::*, shard_leases::*, store_roster::*, weight_load_controller::*,
};
