//! Why a request went where it went.

mod decision_record;
mod decision_ring;
mod log_line;
mod log_story;
mod part_reads;

pub use {decision_record::*, decision_ring::*, log_line::*, log_story::*, part_reads::*};
