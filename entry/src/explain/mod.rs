//! Explains from routing decisions and log lines how requests were routed.

mod decision_record;
mod decision_ring;
mod log_line;
mod prefill_summary;
mod request_trace;

pub use {decision_record::*, decision_ring::*, log_line::*, prefill_summary::*, request_trace::*};
