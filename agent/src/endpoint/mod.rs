//! The endpoint beside the agent: one dialect of engine, and plain services.

mod endpoint_client;
mod endpoint_request;
mod endpoint_watch;
mod engine_messages;

pub use {endpoint_client::*, endpoint_request::*, endpoint_watch::*, engine_messages::*};
