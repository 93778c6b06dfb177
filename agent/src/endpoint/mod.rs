//! The endpoint beside the agent: one dialect of engine, and plain services.

mod endpoint_call;
mod endpoint_client;
mod endpoint_watch;
mod engine_messages;

pub use {endpoint_call::*, endpoint_client::*, endpoint_watch::*, engine_messages::*};
