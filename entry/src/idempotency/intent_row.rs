use serde::{Deserialize, Serialize};

/// Prefix of intent rows in the table.
pub const INTENT_PREFIX: &str = "once/";

/// Row in the table that records the use of an idempotency key by a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// Id of the last request that used the key.
    pub request_id: String,
    /// State of that request.
    pub state: IntentState,
    /// Unix time of the write in seconds; allows old rows to be deleted, which is not done yet.
    pub at_secs: u64,
}

/// State of the request of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// The request may have run.
    Started,
    /// The request is known not to have run; the key may be used again.
    NotRun,
}

/// Table key of the row for an idempotency key: a hash, so the key itself is not stored.
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
