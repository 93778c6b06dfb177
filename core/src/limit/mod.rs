//! Rate and concurrency limits, fair sharing and fair queuing between organisations.

mod fair_queue;
mod fair_share;
mod limit_table;
mod max_min_share;
mod rate_bucket;

pub use {fair_queue::*, fair_share::*, limit_table::*, max_min_share::*, rate_bucket::*};
