//! Endpoints, their incarnations, and whether they may receive requests.

mod answer_end;
mod contact_records;
mod digest_position;
mod endpoint_change;
mod endpoint_contact;
mod endpoint_entry;
mod endpoint_incarnation;
mod endpoint_registry;
mod endpoint_rejoin;
mod endpoint_software;
mod front_count;
mod incarnation_order;
mod incarnation_tracker;
mod list_notices;
mod listed_incarnation;
mod pause_detector;
mod request_records;
mod shared_address;
mod unlisted_endpoints;

pub use {
    answer_end::*, digest_position::*, endpoint_change::*, endpoint_contact::*, endpoint_entry::*,
    endpoint_incarnation::*, endpoint_registry::*, endpoint_rejoin::*, endpoint_software::*,
    front_count::*, incarnation_order::*, incarnation_tracker::*, listed_incarnation::*,
    pause_detector::*,
};
