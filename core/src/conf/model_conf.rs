use {
    crate::labels::LabelSet,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Bytes of kept state for one token where a model does not say it.
pub const DEFAULT_TOKEN_BYTES: u64 = 131_072;

/// One model and its weight versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConf {
    /// The version that engines should hold, unless their label says another.
    pub active: String,
    /// All versions that may answer, by name. While engines change over, both
    /// the old and the new answer; removing a version here forbids it at once.
    pub versions: BTreeMap<String, VersionConf>,
    /// Bytes of kept state for one token.
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
    /// Labels, for selectors.
    #[serde(default)]
    pub labels: LabelSet,
}
