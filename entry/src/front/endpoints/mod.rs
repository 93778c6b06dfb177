//! The endpoints that this front knows: their list, connections, probes and the orders given to them.

mod connection_pool;
mod contact_board;
mod contact_probe;
mod endpoint_statements;
mod exit_probe;
mod fallback_controller;
mod list_trust;
mod list_watch;
mod order_lease;
mod orphan_engine;
mod process_query;
mod rejoin_probe;
mod slow_starts;
mod weight_update;
mod witness_connection;

pub(crate) use {
    connection_pool::*, contact_board::*, contact_probe::*, exit_probe::*, fallback_controller::*,
    list_trust::*, list_watch::*, order_lease::*, orphan_engine::*, process_query::*,
    rejoin_probe::*, slow_starts::*, weight_update::*, witness_connection::*,
};
