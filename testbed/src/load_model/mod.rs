//! Simulation of engines, fronts and callers on a virtual clock. It runs the decision code of
//! the product itself, so that a mechanism can be evaluated under many loads and seeds in
//! seconds.

mod engine_events;
mod engine_memory;
mod engine_run;
mod engine_spec;
mod event_queue;
mod front_request;
mod kind_spec;
mod load_file;
mod load_sim;
mod load_table;
mod load_tally;
mod request_events;
mod request_plan;
mod sim_engine;
mod sim_front;
mod sim_request;
mod sim_store;
mod size_spec;
mod transfer_events;

pub use {
    engine_memory::*, engine_run::*, engine_spec::*, event_queue::*, front_request::*,
    kind_spec::*, load_file::*, load_sim::*, load_table::*, load_tally::*, request_plan::*,
    sim_engine::*, sim_front::*, sim_request::*, sim_store::*, size_spec::*,
};
