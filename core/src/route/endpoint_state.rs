use {
    crate::labels::LabelSet,
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
    std::net::SocketAddr,
};

new_key_type! {
    /// Key of one incarnation of an endpoint. A restart or a lost event assigns a new
    /// key, which invalidates everything recorded under the old one.
    pub struct EndpointKey;
}

/// Kind of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// Model it serves.
        model: String,
        /// Weight version it serves.
        version: String,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: String,
    },
}

/// State of an endpoint except its load.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointState {
    /// Endpoint id.
    pub id: String,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Group of endpoints that share store boxes and the limit on concurrent weight loads.
    pub group: String,
    /// Labels from the agent's settings, overridden by those from operators.
    pub labels: LabelSet,
    /// Address of its agent.
    pub address: SocketAddr,
    /// Start time of its agent, in microseconds since 1970; increases with each restart.
    pub incarnation: u64,
    /// Whether it is draining and takes no new work.
    pub leaving: bool,
}

/// Load of an endpoint as reported by its agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens of requests that have not produced their first output token.
    pub pending_tokens: u64,
    /// Requests sent to the endpoint and not ended.
    pub running: u32,
    /// Maximum number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Time to compute one prompt token, in microseconds.
    pub token_cost: f32,
    /// Recent duration of a request from start to end, in microseconds.
    pub service_time: f32,
    /// Whether the endpoint responds to its agent.
    pub healthy: bool,
}

/// Load of an endpoint as seen by this process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EndpointLoad {
    /// Last load report.
    pub report: LoadReport,
    /// Pending tokens of this process when the report arrived; the report includes them.
    pub own_tokens: u64,
    /// Running requests of this process when the report arrived; the report includes them.
    pub own_running: u32,
    /// Whether the endpoint is a live member.
    pub alive: bool,
    /// Factor on its cost estimates after failures or slowness; one is normal.
    pub penalty: f32,
}

/// Load that this process has in flight on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InFlightLoad {
    /// Prompt tokens of requests without a first output token.
    pub tokens: u64,
    /// Requests that have not ended.
    pub running: u32,
}
