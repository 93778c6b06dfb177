//! What fronts and engine agents tell each other.

mod claim_sender;
mod claim_waits;
mod digest_apply;
mod digest_receiver;
mod greeting_schedule;
mod greeting_sender;
mod origin_sender;
mod peer_list;
mod peer_state;
mod rate_receivers;
mod relay_assignment;

pub(crate) use {
    claim_sender::*, claim_waits::*, digest_receiver::*, greeting_schedule::*, greeting_sender::*,
    origin_sender::*, peer_list::*, peer_state::*, rate_receivers::*, relay_assignment::*,
};
