//! Roll-outs of endpoint software: moves the requests of a service from endpoints with one version
//! of their software to endpoints with another, and back if the other version answers worse.
//!
//! Every front takes part without being elected. Each one bounds its own share of requests to the
//! new version, which bounds the sum over all fronts. Outcomes are counted by each front and added
//! up in the platform store, where the state of the roll-out is replaced by compare-and-set.

mod answer_counts;
mod exposure_meter;
mod latency_counts;
mod outcome_counts;
mod rollout_decision;
mod rollout_order;
mod rollout_record;
mod rollout_schedule;
mod rollout_table;
mod service_rollout;
mod version_arm;
mod version_filter;
mod version_sightings;
mod version_verdict;

pub use {
    answer_counts::*, exposure_meter::*, latency_counts::*, outcome_counts::*, rollout_decision::*,
    rollout_order::*, rollout_record::*, rollout_schedule::*, rollout_table::*, service_rollout::*,
    version_arm::*, version_filter::*, version_sightings::*, version_verdict::*,
};
