//! Messages between fronts and the agents of engines: datagrams, and state snapshots over HTTP.
//! Each datagram is self-contained: a lost one makes knowledge less fresh, never wrong.

mod datagram;
mod datagram_socket;
mod digest_message;
mod engine_digest;
mod front_greeting;
mod grouped_parts;
mod kv_store_update;
mod relayed_digest;
mod snapshot_client;
mod state_snapshot;

pub use {
    datagram::*, datagram_socket::*, digest_message::*, engine_digest::*, front_greeting::*,
    kv_store_update::*, relayed_digest::*, snapshot_client::*, state_snapshot::*,
};
