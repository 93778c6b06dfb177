//! The configuration that operators edit: a single document with a revision number.

mod change_error;
mod change_history;
mod change_record;
mod config_change;
mod config_head;
mod endpoint_conf;
mod fleet_config;
mod label_target;
mod model_conf;
mod organisation_conf;
mod placement_rule;
mod service_conf;

pub use {
    change_error::*, change_history::*, change_record::*, config_change::*, config_head::*,
    endpoint_conf::*, fleet_config::*, label_target::*, model_conf::*, organisation_conf::*,
    placement_rule::*, service_conf::*,
};
