//! Requests, and parts of prompts, during which endpoints crashed.

mod proven_parts;
mod request_fingerprint;
mod suspect_key;
mod suspect_record;
mod suspect_tracker;
mod trial_table;

pub use {
    proven_parts::*, request_fingerprint::*, suspect_key::*, suspect_record::*, suspect_tracker::*,
    trial_table::*,
};
