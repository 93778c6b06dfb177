use {
    crate::{labels::LabelSet, role::AgentPulse, route::EndpointKind},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Periodic announcement of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Beacon {
    /// Sent by the agent of an endpoint.
    Agent(AgentBeacon),
    /// Sent by an entry process.
    Entry(EntryBeacon),
}

/// Announcement of an agent and its endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentBeacon {
    /// Id of the endpoint.
    pub endpoint_id: String,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Group of endpoints that share store boxes.
    pub group: String,
    /// Labels from the agent's settings.
    pub labels: LabelSet,
    /// Address at which the agent accepts links.
    pub address: SocketAddr,
    /// Start time of the agent, in microseconds since 1970.
    pub incarnation: u64,
    /// Highest configuration revision known to the agent.
    pub revision: u64,
    /// Load of the endpoint and status of the agent.
    pub pulse: AgentPulse,
}

/// Announcement of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBeacon {
    /// Id of the box that the process runs on.
    pub entry_id: String,
    /// Failure domain of the box.
    pub failure_domain: String,
    /// Address at which it receives beacons.
    pub address: SocketAddr,
    /// Address of its HTTP server for peers.
    pub peer_address: SocketAddr,
    /// Start time of the process, in microseconds since 1970.
    pub incarnation: u64,
    /// Configuration revision in use.
    pub revision: u64,
    /// Number of running requests.
    pub running: u32,
}
