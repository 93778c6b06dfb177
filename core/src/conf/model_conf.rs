use {
    crate::labels::LabelSet,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Bytes of KV state per token for models that do not specify it.
pub const DEFAULT_TOKEN_BYTES: u64 = 131_072;

/// One model and its weight versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConf {
    /// Version that engines should serve, unless their `version` label names another.
    pub active: String,
    /// All versions that may serve requests, by name. During a rollout both the old and
    /// the new version serve; a version removed here stops serving at once.
    pub versions: BTreeMap<String, VersionConf>,
    /// Bytes of KV state per token.
    #[serde(default = "default_token_bytes")]
    pub token_bytes: u64,
}

fn default_token_bytes() -> u64 {
    DEFAULT_TOKEN_BYTES
}

/// One weight version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionConf {
    /// Labels matched by selectors.
    #[serde(default)]
    pub labels: LabelSet,
}
