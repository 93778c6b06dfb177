//! The transactional table service.

mod commit_outcome;
mod table_client;
mod table_messages;

pub use {commit_outcome::*, table_client::*, table_messages::*};
