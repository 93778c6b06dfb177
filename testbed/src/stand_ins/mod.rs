//! Stand-ins for the platform's services (table, object store, box list, weight store), for
//! store boxes and for a plain service.

mod body_pipe;
mod fault_switch;
mod http_stand_in;
mod plain_service;
mod platform_stand_in;
mod store_box;
mod table_rows;

pub use {
    body_pipe::*, fault_switch::*, http_stand_in::*, plain_service::*, platform_stand_in::*,
    store_box::*, table_rows::*,
};
