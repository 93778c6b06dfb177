//! The front: a proxy that accepts requests from the platform's load balancer, chooses an endpoint
//! for each, sends it there directly and relays the response, event by event.
//!
//! It is single-threaded, since a box grants it a fifth of a core: the request path and the
//! controllers are tasks of one executor and share their state without locks.

mod callers;
mod endpoints;
mod front_context;
mod front_metrics;
mod front_process;
mod front_settings;
mod front_state;
mod operators;
mod peers;
mod requests;
mod stores;

pub(crate) use {
    callers::*, endpoints::*, front_context::*, front_metrics::*, front_state::*, operators::*,
    peers::*, requests::*, stores::*,
};
pub use {front_process::*, front_settings::*};
