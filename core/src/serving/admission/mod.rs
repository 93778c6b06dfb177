//! Which requests are refused under load, and what bounds them.

mod admission_controller;
mod admission_counts;
mod admission_decision;
mod admission_inputs;
mod admission_request;
mod admission_scope;
mod caller_limits;
mod caller_patience;
mod connection_gate;
mod failover_limit;
mod memory_budget;
mod memory_contention;
mod memory_share;
mod organisation_rate;
mod organisation_shares;
mod priority_shares;
mod rate_reports;
mod refusal_kind;
mod retry_window;
mod route_stats;
mod share_table;
mod stop_window;
mod urgent_demand;

use share_table::*;
pub use {
    admission_controller::*, admission_counts::*, admission_decision::*, admission_inputs::*,
    admission_request::*, admission_scope::*, caller_limits::*, caller_patience::*,
    connection_gate::*, failover_limit::*, memory_budget::*, memory_share::*, organisation_rate::*,
    organisation_shares::*, priority_shares::*, rate_reports::*, refusal_kind::*, retry_window::*,
    route_stats::*, stop_window::*, urgent_demand::*,
};
