use {
    crate::labels::LabelSet,
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
    std::net::SocketAddr,
};

new_key_type! {
    /// Key of one life of an endpoint. A restart or a lost event gets a new key,
    /// so whatever is still noted under the old one is void.
    pub struct EndpointKey;
}

/// What an endpoint is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// Model it serves.
        model: String,
        /// Weight version it holds.
        version: String,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: String,
    },
}

/// What is known of an endpoint apart from its load.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointState {
    /// Name that operators use.
    pub id: String,
    /// What it is.
    pub kind: EndpointKind,
    /// Group that shares a store and a load limit for weights.
    pub group: String,
    /// Labels from the agent's settings with those of the operators on top.
    pub labels: LabelSet,
    /// Where its agent listens.
    pub address: SocketAddr,
    /// Start of its agent, in microseconds since 1970; goes up with each restart.
    pub incarnation: u64,
    /// Whether it takes new work no more.
    pub leaving: bool,
}

/// Load of one endpoint, as its agent reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens handed over whose first answer token has not come yet.
    pub pending_tokens: u64,
    /// Requests handed over and not ended.
    pub running: u32,
    /// Requests that the endpoint runs at the same time at most.
    pub slots: u32,
    /// Microseconds that one prompt token takes to compute.
    pub token_cost: f32,
    /// Microseconds that a request takes from start to end, lately.
    pub service_time: f32,
    /// Whether the endpoint answers its agent.
    pub healthy: bool,
}

/// Load of one endpoint as this process sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EndpointLoad {
    /// The last report.
    pub report: LoadReport,
    /// This process's own pending tokens when the report came; they are part of it.
    pub own_tokens: u64,
    /// This process's own running requests when the report came.
    pub own_running: u32,
    /// Whether the membership counts the endpoint as alive.
    pub alive: bool,
    /// Factor on its estimates after failures or slowness; one is normal.
    pub penalty: f32,
}

/// What this process has sent to an endpoint and not seen answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InFlightLoad {
    /// Prompt tokens without a first answer token.
    pub tokens: u64,
    /// Requests not ended.
    pub running: u32,
}
