use {
    crate::labels::LabelSet,
    serde::{Deserialize, Serialize},
};

/// Label that takes an endpoint out of service: any value means that it is leaving.
pub const LEAVING_LABEL: &str = "leaving";

/// What operators said about one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointConf {
    /// Labels; they win over those that the agent's settings give.
    #[serde(default)]
    pub labels: LabelSet,
}

impl EndpointConf {
    /// Whether operators want this endpoint drained.
    pub fn is_leaving(&self) -> bool {
        self.labels.get(LEAVING_LABEL).is_some()
    }
}
