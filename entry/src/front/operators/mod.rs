//! What operators change: configuration, evacuations and roll-outs, and the requests that they send.

mod control_handler;
mod evacuations;
mod operator_watch;
mod rollout_rows;
mod rollout_watch;

pub(crate) use {
    control_handler::*, evacuations::*, operator_watch::*, rollout_rows::*, rollout_watch::*,
};
