use {
    super::{EndpointEvent, GateRefusal, StampedOrder, WorkTicket},
    crate::lease::FenceRefusal,
};

/// What an agent's host is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Hand work to the endpoint now.
    Start(WorkTicket),
    /// Tell the entry process that work did not run.
    Refuse(GateRefusal),
    /// Tell all subscribed entry processes.
    Publish(Vec<EndpointEvent>),
    /// Ask the engine for its whole cache: something was missed.
    ListCache,
    /// Carry out an order that passed the fence.
    RunOrder(StampedOrder),
    /// Tell the giver that an order was refused.
    RefuseOrder(FenceRefusal),
    /// Read the lease epoch of this endpoint's shard.
    ReadEpoch,
}
