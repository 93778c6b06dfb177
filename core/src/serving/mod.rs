//! Decisions about requests that an outside platform describes: which route
//! and organisation a request has, which endpoint takes it, what may be sent
//! again, and how fresh the knowledge behind all that must be.

mod admission_controller;
mod admission_decision;
mod admission_request;
mod allowed_regions;
mod cache_namespace;
mod caller_limits;
mod endpoint_book;
mod endpoint_entry;
mod endpoint_life;
mod endpoint_pick;
mod endpoint_return;
mod era_watch;
mod evacuation_set;
mod even_draw;
mod grant_allocator;
mod key_policy;
mod key_trust;
mod kv_store;
mod latency_estimator;
mod life_watch;
mod listed_life;
mod mechanism_set;
mod memory_map;
mod order_right;
mod part_fate;
mod part_memory;
mod path_index;
mod priority_shares;
mod prompt_info;
mod prompt_part;
mod read_proofs;
mod reader_tier;
mod refusal_kind;
mod request_fingerprint;
mod retry_window;
mod route_stats;
mod served_route;
mod serving_config;
mod serving_mechanism;
mod slow_start;
mod standstill_watch;
mod store_clock;
mod store_position;
mod store_proof;
mod store_view;
mod suspect_book;
mod suspect_record;
mod swap_planner;
mod table_mark;
mod telling_pace;
mod told_age;
mod told_life;
mod told_naming;
mod trial_table;
mod version_expiry;
mod weight_belief;
mod weight_bounds;
mod weight_namings;

pub use {
    admission_controller::*, admission_decision::*, admission_request::*, allowed_regions::*,
    cache_namespace::*, caller_limits::*, endpoint_book::*, endpoint_entry::*, endpoint_life::*,
    endpoint_pick::*, endpoint_return::*, era_watch::*, evacuation_set::*, even_draw::*,
    grant_allocator::*, key_policy::*, key_trust::*, kv_store::*, latency_estimator::*,
    life_watch::*, listed_life::*, mechanism_set::*, memory_map::*, order_right::*, part_fate::*,
    part_memory::*, path_index::*, priority_shares::*, prompt_info::*, prompt_part::*,
    read_proofs::*, reader_tier::*, refusal_kind::*, request_fingerprint::*, retry_window::*,
    route_stats::*, served_route::*, serving_config::*, serving_mechanism::*, slow_start::*,
    standstill_watch::*, store_clock::*, store_position::*, store_proof::*, store_view::*,
    suspect_book::*, suspect_record::*, swap_planner::*, table_mark::*, telling_pace::*,
    told_life::*, told_naming::*, trial_table::*, weight_belief::*, weight_bounds::*,
    weight_namings::*,
};
