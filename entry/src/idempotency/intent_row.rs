use serde::{Deserialize, Serialize};

/// Prefix of intent rows in the table.
pub const INTENT_PREFIX: &str = "once/";

/// The row that says that somebody began to run the request of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// Request that the key was used for last.
    pub request_id: String,
    /// How far it is.
    pub state: IntentState,
    /// Seconds since 1970, for clearing up.
    pub at_secs: u64,
}

/// How far the request of a key is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// It may have run.
    Started,
    /// It is proven not to have run; the key may be used again.
    NotRun,
}

/// Key of the row for an idempotency key. The key itself is not stored.
pub fn intent_key(
    organisation: &str,
    idempotency_key: &str,
) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(organisation.len() as u64).to_le_bytes());
    hasher.update(organisation.as_bytes());
    hasher.update(idempotency_key.as_bytes());
    format!("{INTENT_PREFIX}{}", hasher.finalize().to_hex())
}
