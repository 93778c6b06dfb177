//! Decisions of a front on the users' platform: the route and organisation of a request, the
//! endpoint that receives it, whether it may be retried, and how fresh the state behind these
//! decisions must be.

mod admission_controller;
mod admission_decision;
mod admission_request;
mod allowed_regions;
mod cache_namespace;
mod caller_limits;
mod endpoint_entry;
mod endpoint_incarnation;
mod endpoint_pick;
mod endpoint_registry;
mod endpoint_rejoin;
mod era_tracker;
mod evacuation_set;
mod fetch_completion;
mod grant_allocator;
mod incarnation_tracker;
mod key_freshness;
mod key_policy;
mod known_weights;
mod kv_store;
mod kv_store_directory;
mod kv_store_uptime;
mod kv_store_view;
mod latency_estimator;
mod listed_incarnation;
mod mechanism_set;
mod memory_budget;
mod message_intervals;
mod order_right;
mod part_index;
mod path_index;
mod pause_detector;
mod priority_shares;
mod prompt_info;
mod prompt_part;
mod publication_records;
mod reader_tier;
mod reclaim_state;
mod refusal_kind;
mod reported_age;
mod request_fingerprint;
mod retry_window;
mod route_stats;
mod served_route;
mod serving_config;
mod serving_mechanism;
mod slow_start;
mod stable_hash;
mod store_clock;
mod store_position;
mod store_proof;
mod suspect_record;
mod suspect_tracker;
mod swap_planner;
mod table_checksum;
mod trial_table;
mod version_expiry;
mod weight_bounds;
mod weight_publication;

pub use {
    admission_controller::*, admission_decision::*, admission_request::*, allowed_regions::*,
    cache_namespace::*, caller_limits::*, endpoint_entry::*, endpoint_incarnation::*,
    endpoint_pick::*, endpoint_registry::*, endpoint_rejoin::*, era_tracker::*, evacuation_set::*,
    fetch_completion::*, grant_allocator::*, incarnation_tracker::*, key_freshness::*,
    key_policy::*, known_weights::*, kv_store::*, kv_store_directory::*, kv_store_uptime::*,
    kv_store_view::*, latency_estimator::*, listed_incarnation::*, mechanism_set::*,
    memory_budget::*, message_intervals::*, order_right::*, part_index::*, path_index::*,
    pause_detector::*, priority_shares::*, prompt_info::*, prompt_part::*, publication_records::*,
    reader_tier::*, reclaim_state::*, refusal_kind::*, request_fingerprint::*, retry_window::*,
    route_stats::*, served_route::*, serving_config::*, serving_mechanism::*, slow_start::*,
    stable_hash::*, store_clock::*, store_position::*, store_proof::*, suspect_record::*,
    suspect_tracker::*, swap_planner::*, table_checksum::*, trial_table::*, weight_bounds::*,
    weight_publication::*,
};
