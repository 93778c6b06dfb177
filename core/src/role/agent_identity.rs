use {
    crate::{labels::LabelSet, route::EndpointKind},
    std::net::SocketAddr,
};

/// What an agent knows of itself from its settings.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentIdentity {
    /// Id of its endpoint.
    pub endpoint_id: String,
    /// What the endpoint is.
    pub kind: EndpointKind,
    /// Group that shares a store.
    pub group: String,
    /// Labels of the endpoint.
    pub labels: LabelSet,
    /// Where the agent takes links.
    pub address: SocketAddr,
    /// Start of the agent, in microseconds since 1970.
    pub incarnation: u64,
    /// Requests that the endpoint runs at the same time at most.
    pub slots: u32,
    /// Requests that may wait in the agent beyond those.
    pub queue_limit: u32,
}
