//! Which endpoint receives a request.

mod allowed_regions;
mod cost_terms;
mod endpoint_estimate;
mod endpoint_pick;
mod endpoint_rest;
mod engine_pace;
mod engine_pool;
mod engine_rate;
mod engine_rates;
mod evacuation_set;
mod grant_allocator;
mod latency_estimator;
mod latency_estimators;
mod pace_tracker;
mod plain_costs;
mod pool_demand;
mod prompt_pools;
mod prompt_size;
mod rate_change;
mod run_progress;
mod slow_start;
mod stated_limit;

pub use {
    allowed_regions::*, cost_terms::*, endpoint_pick::*, endpoint_rest::*, engine_pace::*,
    engine_pool::*, engine_rate::*, engine_rates::*, evacuation_set::*, grant_allocator::*,
    latency_estimator::*, latency_estimators::*, pace_tracker::*, plain_costs::*, prompt_pools::*,
    prompt_size::*, rate_change::*, run_progress::*, slow_start::*, stated_limit::*,
};
