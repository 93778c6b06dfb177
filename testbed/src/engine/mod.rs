//! Fake model engine: prefill and decode rates, a bounded prefix cache whose events come late
//! and with gaps, resumed streams, cancellation and slow weight loads.

mod fake_engine;
mod prefill_queue;
mod prefix_cache;
mod prompt_run;
mod response_text;

pub use {fake_engine::*, prefill_queue::*, prefix_cache::*, prompt_run::*, response_text::*};
