use {
    crate::{labels::LabelSet, route::EndpointKind},
    std::net::SocketAddr,
};

/// Identity and limits of an agent, from its settings.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentIdentity {
    /// Id of the agent's endpoint.
    pub endpoint_id: String,
    /// Kind of the endpoint: engine or service.
    pub kind: EndpointKind,
    /// Group of endpoints that share a store.
    pub group: String,
    /// Labels of the endpoint.
    pub labels: LabelSet,
    /// Address on which the agent accepts links.
    pub address: SocketAddr,
    /// Start time of the agent, in microseconds since 1970.
    pub incarnation: u64,
    /// Maximum number of requests running on the endpoint.
    pub slots: u32,
    /// Maximum number of requests queued in the agent in addition.
    pub queue_limit: u32,
}
