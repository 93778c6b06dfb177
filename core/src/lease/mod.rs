//! Leases on shards of control, and the fence that endpoints put before orders.

mod lease_machine;
mod lease_row;
mod order_fence;

pub use {lease_machine::*, lease_row::*, order_fence::*};
