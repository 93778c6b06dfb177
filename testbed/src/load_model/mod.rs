//! A model of engines, fronts and callers on a virtual clock. It runs the very code
//! that decides in the product, so that a mechanism can be weighed under many
//! loads and seeds in seconds.

mod call_plan;
mod engine_memory;
mod engine_run;
mod engine_spec;
mod event_queue;
mod front_ask;
mod kind_spec;
mod load_file;
mod load_table;
mod load_tally;
mod load_world;
mod model_engine;
mod model_front;
mod model_store;
mod prompt_call;
mod size_spec;
mod world_calls;
mod world_engines;
mod world_moves;

pub use {
    call_plan::*, engine_memory::*, engine_run::*, engine_spec::*, event_queue::*, front_ask::*,
    kind_spec::*, load_file::*, load_table::*, load_tally::*, load_world::*, model_engine::*,
    model_front::*, model_store::*, prompt_call::*, size_spec::*,
};
