use {
    super::{DropPlan, HandOver},
    pitchhitch_core::role::{ConfigNotice, StampedOrder},
    serde::{Deserialize, Serialize},
};

/// What an entry process asks of an agent; one call a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkCall {
    /// Run a request.
    HandOver(Box<HandOver>),
    /// Send events from now on, all that is known first.
    Subscribe {
        /// Id of the entry process.
        entry_id: String,
    },
    /// Take note of the configuration.
    Notice(ConfigNotice),
    /// Drop pieces from a store box and tell everybody.
    Drop(DropPlan),
    /// Carry out an order.
    Order(StampedOrder),
}
