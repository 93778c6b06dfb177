//! Messages on the link between an entry process and an agent.

mod hand_over;
mod header_field;
mod link_call;
mod link_reply;

pub use {hand_over::*, header_field::*, link_call::*, link_reply::*};
