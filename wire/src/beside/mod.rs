//! Datagrams between fronts and the processes beside engines. Each stands for
//! itself: one that is lost costs freshness, never correctness.

mod beside_socket;
mod engine_digest;
mod front_hello;
mod grouped_parts;
mod handed_state;
mod state_question;
mod store_news;
mod told_digest;

pub use {
    beside_socket::*, engine_digest::*, front_hello::*, handed_state::*, state_question::*,
    store_news::*, told_digest::*,
};
