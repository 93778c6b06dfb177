//! The front: takes requests from the platform's balancer, decides, calls
//! endpoints directly and passes their answers on, event by event.
//!
//! One thread does all of it, as a box gives it a fifth of a core: the request
//! path and the controllers are tasks of one executor and share plain state.

mod call_limit;
mod caller_conn;
mod digest_receiver;
mod end_probe;
mod evacuations;
mod event_splitter;
mod fallback_controller;
mod foreign_rows;
mod front_context;
mod front_metrics;
mod front_process;
mod front_settings;
mod front_state;
mod greeting_schedule;
mod greeting_sender;
mod held_rows;
mod kv_store_watch;
mod link_pool;
mod list_watch;
mod offer;
mod operator_watch;
mod order_lease;
mod orphan_engine;
mod part_freeing;
mod peer_state;
mod plain_answer;
mod request_admit;
mod request_answer;
mod request_choice;
mod request_lessons;
mod request_log;
mod request_moves;
mod request_run;
mod request_trial;
mod request_try;
mod return_check;
mod run_lost;
mod slow_starts;
mod store_contact;
mod store_readers;
mod stream_relay;
mod suspect_desk;
mod wake_reason;
mod watcher_assignment;
mod weight_lesson;

use {
    call_limit::*, evacuations::*, foreign_rows::*, greeting_schedule::*, held_rows::*,
    order_lease::*, orphan_engine::*, part_freeing::*, peer_state::*, request_admit::*,
    request_moves::*, request_trial::*, request_try::*, return_check::*, run_lost::*,
    slow_starts::*, watcher_assignment::*, weight_lesson::*,
};
pub(crate) use {
    caller_conn::*, digest_receiver::*, end_probe::*, event_splitter::*, fallback_controller::*,
    front_context::*, front_metrics::*, front_state::*, greeting_sender::*, kv_store_watch::*,
    link_pool::*, list_watch::*, offer::*, operator_watch::*, plain_answer::*, request_run::*,
    store_contact::*, store_readers::*, stream_relay::*, suspect_desk::*, wake_reason::*,
};
pub use {front_process::*, front_settings::*};
