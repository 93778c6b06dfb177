//! Leases on control shards, and the fencing of orders at the endpoints.

mod control_shard;
mod lease_machine;
mod lease_row;
mod order_fence;

pub use {control_shard::*, lease_machine::*, lease_row::*, order_fence::*};
