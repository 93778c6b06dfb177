//! How much an organisation may ask for.

mod fair_queue;
mod fair_share;
mod limit_table;
mod rate_bucket;

pub use {fair_queue::*, fair_share::*, limit_table::*, rate_bucket::*};
