//! Messages between the processes of pitchhitch, and the transports that carry them: an HTTP/2
//! link, UDP sockets, and HTTP requests for state snapshots.

pub mod beacon;
pub mod codec;
pub mod engine_agent;
pub mod link;
pub mod messages;
