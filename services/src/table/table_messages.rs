use serde::{Deserialize, Serialize};

/// Reads several rows at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Rows that were found; the others are not there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// One row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Its key.
    pub key: String,
    /// Changes with each write; never zero.
    pub version: u64,
    /// Its value.
    pub value: String,
}

/// Writes several rows, all or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// The writes.
    pub writes: Vec<RowWrite>,
}

/// One write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; zero when it must not be there.
    pub expected: u64,
    /// New value; none removes the row.
    pub value: Option<String>,
}

/// Answer to a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitResponse {
    /// All rows were written; their new versions, in order.
    Done {
        /// New versions.
        versions: Vec<u64>,
    },
    /// Nothing was written: these rows have other versions.
    Conflict {
        /// Keys of those rows.
        keys: Vec<String>,
    },
}
