//! Decisions about requests on a platform that is described from outside: the route and
//! organisation of a request, the endpoint that gets it, what may be sent again, and how fresh
//! the state behind these decisions must be.

mod admission_request;
mod admission_controller;
mod admission_decision;
mod version_expiry;
mod caller_limits;
mod endpoint_entry;
mod endpoint_incarnation;
mod endpoint_pick;
mod endpoint_registry;
mod endpoint_rejoin;
mod latency_estimator;
mod era_tracker;
mod evacuation_set;
mod grant_allocator;
mod allowed_regions;
mod incarnation_tracker;
mod key_policy;
mod key_freshness;
mod kv_store;
mod listed_incarnation;
mod mechanism_set;
mod message_intervals;
mod order_right;
mod part_index;
mod path_index;
mod pause_detector;
mod prompt_info;
mod prompt_part;
mod priority_shares;
mod fetch_completion;
mod reader_tier;
mod reclaim_state;
mod refusal_kind;
mod retry_window;
mod request_fingerprint;
mod route_stats;
mod served_route;
mod serving_config;
mod serving_mechanism;
mod slow_start;
mod stable_hash;
mod store_clock;
mod store_directory;
mod store_position;
mod store_proof;
mod store_uptime;
mod store_view;
mod suspect_record;
mod suspect_tracker;
mod swap_planner;
mod table_checksum;
mod reported_age;
mod weight_publication;
mod trial_table;
mod cache_namespace;
mod known_weights;
mod weight_bounds;
mod publication_records;

pub use {
    admission_request::*, admission_controller::*, admission_decision::*, caller_limits::*, endpoint_entry::*,
    endpoint_incarnation::*, endpoint_pick::*, endpoint_registry::*, endpoint_rejoin::*,
    latency_estimator::*, era_tracker::*, evacuation_set::*, grant_allocator::*, allowed_regions::*,
    incarnation_tracker::*, key_policy::*, key_freshness::*, kv_store::*, listed_incarnation::*,
    mechanism_set::*, message_intervals::*, order_right::*, part_index::*, path_index::*,
    pause_detector::*, prompt_info::*, prompt_part::*, priority_shares::*, fetch_completion::*,
    reader_tier::*, reclaim_state::*, refusal_kind::*, retry_window::*, request_fingerprint::*,
    route_stats::*, served_route::*, serving_config::*, serving_mechanism::*, slow_start::*,
    stable_hash::*, store_clock::*, store_directory::*, store_position::*, store_proof::*,
    store_uptime::*, store_view::*, suspect_record::*, suspect_tracker::*, swap_planner::*,
    table_checksum::*, weight_publication::*, trial_table::*, cache_namespace::*, known_weights::*,
    weight_bounds::*, publication_records::*,
};
