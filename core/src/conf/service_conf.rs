use serde::{Deserialize, Serialize};

/// One plain service, reached under a path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConf {
    /// Path prefix, with a slash at its head, for example `/orders`.
    pub prefix: String,
}
