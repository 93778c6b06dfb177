//! The process beside an engine on the platform: out of the path of requests,
//! it tells the fronts what the engine does, and is the only one that gives the
//! engine orders.

mod beside_context;
mod beside_metrics;
mod beside_process;
mod beside_settings;
mod digest_sender;
mod engine_watch;
mod front_contacts;
mod kept_watch;
mod order_giver;
mod sent_digests;
mod state_keeper;
mod store_reader;

pub(crate) use {
    beside_context::*, beside_metrics::*, digest_sender::*, engine_watch::*, front_contacts::*,
    kept_watch::*, order_giver::*, sent_digests::*, state_keeper::*, store_reader::*,
};
pub use {beside_process::*, beside_settings::*};
