use {
    crate::lease::OrderStamp,
    serde::{Deserialize, Serialize},
};

/// Order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointOrder {
    /// Load a weight version of its model.
    LoadVersion {
        /// Version to load.
        version: String,
    },
    /// Load an adapter for its weights.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Change which phase of a prompt it processes.
    ChangeRole {
        /// Name of the role in the engine's terms.
        role: String,
    },
}

/// An order with its fencing stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedOrder {
    /// Name of the shard, which is the key of its lease row.
    pub shard: String,
    /// Lease epoch and sequence number.
    pub stamp: OrderStamp,
    /// The order.
    pub order: EndpointOrder,
}

/// Configuration of one endpoint that its agent has to follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigNotice {
    /// Configuration revision; an agent ignores revisions that are not higher than its current one.
    pub revision: u64,
    /// Whether operators took the endpoint out of service for new requests.
    pub leaving: bool,
    /// Whether the box list marks the box as leaving, which is final.
    pub box_leaving: bool,
}
