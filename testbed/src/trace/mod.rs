//! Request traces: JSON lines with the field names of the published Mooncake traces.

mod prompt_text;
mod trace_generator;
mod trace_row;

pub use {prompt_text::*, trace_generator::*, trace_row::*};
