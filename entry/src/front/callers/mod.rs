//! Connections of callers, the requests that arrive on them and the memory that these hold.

mod caller_conn;
mod caller_room;
mod held_bytes;
mod request_board;

pub(crate) use {caller_conn::*, caller_room::*, held_bytes::*, request_board::*};
