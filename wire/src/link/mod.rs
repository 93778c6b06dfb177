//! The h2 link between an entry process and an agent: one connection a pair,
//! one stream a call.

mod agent_link;
mod link_error;
mod link_server;
mod reply_sender;
mod reply_stream;

pub use {agent_link::*, link_error::*, link_server::*, reply_sender::*, reply_stream::*};

/// Path of all calls; the message says what is asked.
const CALL_URI: &str = "http://agent/call";
/// Bytes of answer that may be under way to a caller that does not read.
const REPLY_WINDOW_BYTES: u32 = 64 * 1024;
/// Bytes of requests that may be under way on one stream.
const CALL_WINDOW_BYTES: u32 = 1024 * 1024;
/// Bytes under way on the whole connection: so many that streams that nobody
/// reads never hold up the others.
const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;
/// Streams on one link at the same time.
const MAX_CONCURRENT_STREAMS: u32 = 100_000;
