//! The HTTP/2 link between an entry process and an agent: one connection per pair of
//! processes, one stream per call.

mod agent_link;
mod link_error;
mod link_server;
mod reply_sender;
mod reply_stream;

pub use {agent_link::*, link_error::*, link_server::*, reply_sender::*, reply_stream::*};

/// URI of all calls; the kind of call is in the message.
const CALL_URI: &str = "http://agent/call";
/// Flow-control window for the replies of one stream: bytes in flight to an entry process
/// that does not read them.
const REPLY_WINDOW_BYTES: u32 = 64 * 1024;
/// Flow-control window for the call of one stream.
const CALL_WINDOW_BYTES: u32 = 1024 * 1024;
/// Flow-control window of the whole connection: the maximum that HTTP/2 allows, so that
/// unread streams never block the others.
const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;
/// Maximum number of concurrent streams on one link.
const MAX_CONCURRENT_STREAMS: u32 = 100_000;
