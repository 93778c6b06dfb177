//! The configuration in force, its age, and the mechanisms that settings disable.

mod key_freshness;
mod key_policy;
mod mechanism_set;
mod path_index;
mod served_route;
mod serving_config;
mod serving_mechanism;

pub use {
    key_freshness::*, key_policy::*, mechanism_set::*, path_index::*, served_route::*,
    serving_config::*, serving_mechanism::*,
};
