use serde::{Deserialize, Serialize};

/// Request to read several rows as one consistent snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// The rows that exist; missing rows are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row: changes with each write, never zero.
    pub version: u64,
    /// Value of the row.
    pub value: String,
}

/// Request to write several rows atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// The writes.
    pub writes: Vec<RowWrite>,
}

/// Write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; zero if the row must not exist.
    pub expected: u64,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

/// Response to a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitResponse {
    /// All rows were written.
    Done {
        /// New versions of the rows, in the order of the writes.
        versions: Vec<u64>,
    },
    /// Nothing was written: some rows have other versions than expected.
    Conflict {
        /// Keys of those rows.
        keys: Vec<String>,
    },
}
