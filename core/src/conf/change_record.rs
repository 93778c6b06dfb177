use {
    super::ConfigChange,
    serde::{Deserialize, Serialize},
};

/// An accepted change, as the change log keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change made.
    pub revision: u64,
    /// Chosen by the operator's command; settles a lost answer.
    pub change_id: String,
    /// Who asked.
    pub operator: String,
    /// When, in seconds since 1970, by the operator's clock; for people only.
    pub at_secs: u64,
    /// What changed.
    pub change: ConfigChange,
}
