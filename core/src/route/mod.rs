//! Choice of the endpoint for a request.

mod cost_estimate;
mod endpoint_state;
mod prefix_reuse;
mod route_choice;
mod route_policy;
mod route_pool;
mod route_request;
mod route_table;
mod store_state;

pub use {
    cost_estimate::*, endpoint_state::*, prefix_reuse::*, route_choice::*, route_policy::*,
    route_pool::*, route_request::*, route_table::*, store_state::*,
};
