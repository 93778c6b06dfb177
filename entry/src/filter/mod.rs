//! The filter chain for requests: identify, admit, select, route, send, answer.

mod admit;
mod answer;
mod answer_body;
mod caller_request;
mod dispatch;
mod identify;
mod keep_plan;
mod refusal;
mod request_chain;
mod route;
mod select;
mod send;

pub use {
    admit::*, answer::*, answer_body::*, caller_request::*, dispatch::*, identify::*, keep_plan::*,
    refusal::*, request_chain::*, route::*, select::*, send::*,
};
