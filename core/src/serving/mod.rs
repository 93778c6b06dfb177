//! Decisions about requests that an outside platform describes: which route
//! and organisation a request has, which endpoint takes it, what may be sent
//! again, and how fresh the knowledge behind all that must be.

mod admission_ask;
mod admission_rule;
mod admission_verdict;
mod begin_limits;
mod caller_limits;
mod endpoint_book;
mod endpoint_entry;
mod endpoint_life;
mod endpoint_pick;
mod endpoint_return;
mod engine_pace;
mod era_tracker;
mod evacuation_book;
mod even_draw;
mod fetch_completion;
mod grant_book;
mod home_regions;
mod key_freshness;
mod key_policy;
mod known_weights;
mod kv_store;
mod life_watch;
mod listed_life;
mod mechanism_set;
mod memory_map;
mod order_right;
mod part_fate;
mod part_memory;
mod path_index;
mod prompt_ask;
mod prompt_part;
mod publication_records;
mod rank_shares;
mod reader_tier;
mod refusal_kind;
mod repeat_meter;
mod reported_age;
mod request_fingerprint;
mod route_habits;
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
mod table_checksum;
mod telling_pace;
mod told_life;
mod trial_table;
mod wall_name;
mod weight_bounds;
mod weight_publication;

pub use {
    admission_ask::*, admission_rule::*, admission_verdict::*, caller_limits::*, endpoint_book::*,
    endpoint_entry::*, endpoint_life::*, endpoint_pick::*, endpoint_return::*, engine_pace::*,
    era_tracker::*, evacuation_book::*, even_draw::*, fetch_completion::*, grant_book::*,
    home_regions::*, key_freshness::*, key_policy::*, known_weights::*, kv_store::*, life_watch::*,
    listed_life::*, mechanism_set::*, memory_map::*, order_right::*, part_fate::*, part_memory::*,
    path_index::*, prompt_ask::*, prompt_part::*, publication_records::*, rank_shares::*,
    reader_tier::*, refusal_kind::*, repeat_meter::*, request_fingerprint::*, route_habits::*,
    served_route::*, serving_config::*, serving_mechanism::*, slow_start::*, standstill_watch::*,
    store_clock::*, store_position::*, store_proof::*, store_view::*, suspect_book::*,
    suspect_record::*, swap_planner::*, table_checksum::*, telling_pace::*, told_life::*,
    trial_table::*, wall_name::*, weight_bounds::*, weight_publication::*,
};
