use {
    crate::lease::OrderStamp,
    serde::{Deserialize, Serialize},
};

/// What an endpoint can be ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointOrder {
    /// Load a weight version of its model.
    LoadVersion {
        /// The version.
        version: String,
    },
    /// Load an adapter on top of its weights.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change what phase of a prompt it works on.
    ChangeRole {
        /// Name of the role, as the engine knows it.
        role: String,
    },
}

/// An order with its place in the history of its shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedOrder {
    /// Name of the shard, the key of its lease row.
    pub shard: String,
    /// Epoch and sequence.
    pub stamp: OrderStamp,
    /// The order.
    pub order: EndpointOrder,
}

/// What the configuration says about one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigNotice {
    /// Revision it comes from; an agent never goes back to a lower one.
    pub revision: u64,
    /// Whether operators want the endpoint to take no new work.
    pub leaving: bool,
    /// Whether the box list says that the box is leaving, which it does for good.
    pub box_leaving: bool,
}
