//! The path of a request: from its arrival through the attempts at endpoints to the response.

mod active_move;
mod answer_end;
mod attempt_loop;
mod attempt_timer;
mod call_timeout;
mod endpoint_exchange;
mod event_splitter;
mod lost_run;
mod move_board;
mod plain_response;
mod request_admission;
mod request_admit;
mod request_attempt;
mod request_choice;
mod request_claims;
mod request_end;
mod request_feedback;
mod request_handler;
mod request_log;
mod request_moves;
mod request_response;
mod request_retry;
mod request_transfers;
mod request_trial;
mod request_versions;
mod run_resumption;
mod state_wait;
mod stream_origin;
mod stream_relay;
mod wake_reason;

pub(crate) use {
    active_move::*, attempt_timer::*, call_timeout::*, endpoint_exchange::*, event_splitter::*,
    lost_run::*, move_board::*, plain_response::*, request_admit::*, request_attempt::*,
    request_end::*, request_handler::*, request_log::*, request_moves::*, request_transfers::*,
    request_trial::*, request_versions::*, stream_relay::*, wake_reason::*,
};
