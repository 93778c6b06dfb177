//! Stand-in for a model engine: prefill and decode rates, a bounded prefix
//! cache with late and gappy events, resume, cancel and slow weight loads.

mod answer_text;
mod engine_stand_in;
mod prefill_line;
mod prefix_cache;
mod prompt_run;

pub use {answer_text::*, engine_stand_in::*, prefill_line::*, prefix_cache::*, prompt_run::*};
