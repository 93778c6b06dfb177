use serde::{Deserialize, Serialize};

/// A plain service, routed by path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConf {
    /// Path prefix with a leading slash, for example `/orders`.
    pub prefix: String,
}
