//! The published OpenAI shapes, as far as the entry process looks into them.

mod error_body;
mod model_list;
mod prompt_request;
mod sse_splitter;

pub use {error_body::*, model_list::*, prompt_request::*, sse_splitter::*};
