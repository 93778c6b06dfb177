//! The filter chain for requests: authenticate, admit, parse, route, send, respond.

mod admit;
mod authenticate;
mod caller_request;
mod dispatch;
mod parsed_request;
mod refusal;
mod request_chain;
mod response;
mod response_body;
mod retention_plan;
mod route;
mod send;

pub use {
    admit::*, authenticate::*, caller_request::*, dispatch::*, parsed_request::*, refusal::*,
    request_chain::*, response::*, response_body::*, retention_plan::*, route::*, send::*,
};
