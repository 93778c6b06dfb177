use {
    super::{EndpointEvent, GateRefusal, StampedOrder, WorkTicket},
    crate::lease::FenceRefusal,
};

/// What the host of an [`AgentCore`](super::AgentCore) has to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Start a request on the endpoint.
    Start(WorkTicket),
    /// Notify the entry process that a request was refused and did not run.
    Refuse(GateRefusal),
    /// Send events and the current pulse to all subscribed entry processes.
    Publish(Vec<EndpointEvent>),
    /// List the engine's whole cache, because the agent has no current copy of it.
    ListCache,
    /// Execute an order whose fencing stamp was accepted.
    RunOrder(StampedOrder),
    /// Notify the sender that its order was refused.
    RefuseOrder(FenceRefusal),
    /// Read the lease epoch of this endpoint's shard from the table.
    ReadEpoch,
}
