//! What reads of the platform store prove, by this box and others.

mod era_tracker;
mod outage_tracker;
mod reader_tier;
mod reported_age;
mod store_clock;
mod store_position;
mod store_proof;
mod table_checksum;

pub(in crate::serving) use reported_age::*;
pub use {
    era_tracker::*, outage_tracker::*, reader_tier::*, store_clock::*, store_position::*,
    store_proof::*, table_checksum::*,
};
