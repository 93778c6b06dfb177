//! The request and response formats of the published OpenAI API, as far as the entry process reads
//! or writes them.

mod error_body;
mod model_list;
mod prompt_request;
mod sse_splitter;

pub use {error_body::*, model_list::*, prompt_request::*, sse_splitter::*};
