use {
    crate::{labels::LabelSet, role::AgentPulse, route::EndpointKind},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a process says of itself every so often.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Beacon {
    /// From the agent beside an endpoint.
    Agent(AgentBeacon),
    /// From an entry process.
    Entry(EntryBeacon),
}

/// What an agent says of itself and its endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentBeacon {
    /// Id of the endpoint.
    pub endpoint_id: String,
    /// What the endpoint is.
    pub kind: EndpointKind,
    /// Group that shares a store.
    pub group: String,
    /// Labels from the agent's settings.
    pub labels: LabelSet,
    /// Where the agent takes links.
    pub address: SocketAddr,
    /// Start of the agent, in microseconds since 1970.
    pub incarnation: u64,
    /// Configuration revision that it knows of.
    pub revision: u64,
    /// Load of the endpoint, and what the agent does.
    pub pulse: AgentPulse,
}

/// What an entry process says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBeacon {
    /// Id of the process's box.
    pub entry_id: String,
    /// Failure domain it stands in.
    pub failure_domain: String,
    /// Where it takes beacons.
    pub address: SocketAddr,
    /// Where it answers its peers, over HTTP.
    pub peer_address: SocketAddr,
    /// Start of the process, in microseconds since 1970.
    pub incarnation: u64,
    /// Configuration revision in force.
    pub revision: u64,
    /// Requests running.
    pub running: u32,
}
