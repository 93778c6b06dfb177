//! Client for the agent's endpoint: a model engine, which uses the HTTP messages of
//! `engine_messages`, or a plain service.

mod endpoint_client;
mod endpoint_request;
mod endpoint_watch;
mod engine_messages;
mod hang_signal;

pub use {
    endpoint_client::*, endpoint_request::*, endpoint_watch::*, engine_messages::*, hang_signal::*,
};
