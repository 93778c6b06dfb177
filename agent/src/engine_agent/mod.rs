//! The agent process of an engine on the platform. It is not in the path of requests: it reports
//! the engine's state to the fronts, and gives the engine its orders while it holds the right to do
//! so.

mod cache_poller;
mod digest_delivery;
mod digest_sender;
mod engine_agent_context;
mod engine_agent_metrics;
mod engine_agent_process;
mod engine_agent_settings;
mod engine_agent_state;
mod front_contacts;
mod greeting_receiver;
mod named_runs;
mod order_sender;
mod polled_kv_store;
mod relay_queue;
mod report_poller;
mod sent_digests;
mod snapshot_cache;
mod store_poller;

pub(crate) use {
    cache_poller::*, digest_sender::*, engine_agent_context::*, engine_agent_metrics::*,
    engine_agent_state::*, front_contacts::*, greeting_receiver::*, order_sender::*,
    relay_queue::*, report_poller::*, sent_digests::*, snapshot_cache::*, store_poller::*,
};
use {digest_delivery::*, polled_kv_store::*};
pub use {engine_agent_process::*, engine_agent_settings::*};
