use {
    super::ConfigChange,
    serde::{Deserialize, Serialize},
};

/// An accepted change as stored in the change log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision created by the change.
    pub revision: u64,
    /// Chosen by the operator's command. If the response is lost, a retry with the same id
    /// finds out whether the change was accepted.
    pub change_id: String,
    /// Operator who requested the change.
    pub operator: String,
    /// Time of the request by the operator's clock, in seconds since 1970; informational only.
    pub at_secs: u64,
    /// The change.
    pub change: ConfigChange,
}
