//! Fakes of the platform's services (table, object store, box list, weight store), of store
//! boxes and of a plain service.

mod body_pipe;
mod fake_platform;
mod fake_server;
mod fault_switch;
mod plain_service;
mod store_box;
mod table_rows;

pub use {
    body_pipe::*, fake_platform::*, fake_server::*, fault_switch::*, plain_service::*,
    store_box::*, table_rows::*,
};
