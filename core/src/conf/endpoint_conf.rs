use {
    crate::labels::LabelSet,
    serde::{Deserialize, Serialize},
};

/// Label that drains an endpoint, whatever its value.
pub const LEAVING_LABEL: &str = "leaving";

/// Operator configuration of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointConf {
    /// Labels; they override those in the agent's settings.
    #[serde(default)]
    pub labels: LabelSet,
}

impl EndpointConf {
    /// Whether the endpoint is to be drained.
    pub fn is_leaving(&self) -> bool {
        self.labels.get(LEAVING_LABEL).is_some()
    }
}
