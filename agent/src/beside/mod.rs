//! The process beside an engine on the platform: out of the path of requests,
//! it tells the fronts what the engine does, and is the only one that gives the
//! engine orders.

mod beside_context;
mod beside_metrics;
mod beside_process;
mod beside_settings;
mod digest_sender;
mod engine_watch;
mod kept_watch;
mod order_giver;
mod sent_digests;
mod state_keeper;

pub(crate) use {
    beside_context::*, beside_metrics::*, digest_sender::*, engine_watch::*, kept_watch::*,
    order_giver::*, sent_digests::*, state_keeper::*,
};
pub use {beside_process::*, beside_settings::*};
