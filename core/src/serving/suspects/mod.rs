//! Requests during which endpoints crashed.

mod request_fingerprint;
mod suspect_record;
mod suspect_tracker;
mod trial_table;

pub use {request_fingerprint::*, suspect_record::*, suspect_tracker::*, trial_table::*};
