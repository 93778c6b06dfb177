use {
    super::{DropPlan, HandOver},
    pitchhitch_core::role::{ConfigNotice, StampedOrder},
    serde::{Deserialize, Serialize},
};

/// Call of an entry process to an agent; there is one call per stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkCall {
    /// Run a request.
    HandOver(Box<HandOver>),
    /// Send a snapshot of the agent's state, followed by all further events.
    Subscribe {
        /// Id of the entry process.
        entry_id: String,
    },
    /// Apply the endpoint's configuration.
    Notice(ConfigNotice),
    /// Drop pieces from a store box and report them as missing to all subscribers.
    Drop(DropPlan),
    /// Execute an order.
    Order(StampedOrder),
}
