use {
    pitchhitch_core::{
        serving::{NamespaceTag, PartId},
        time::Micros,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A part that a store keeps, or no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePart {
    /// Number of the change at the store.
    pub number: u64,
    /// Wall inside which it is shared.
    #[serde(rename = "wall")]
    pub namespace: NamespaceTag,
    /// Part.
    pub id: PartId,
    /// Tokens that are kept now.
    pub tokens: u32,
}

/// What the process beside an engine has read of a store of kept parts, for all fronts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Where the store answers.
    pub store: SocketAddr,
    /// Which of its lives it is.
    pub epoch: u64,
    /// Time on the engines' clock at its last answer, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Time since that answer.
    pub answered: Micros,
    /// Time since the question was sent that it answered.
    pub age: Micros,
    /// Number behind which all changes are told here.
    pub from: u64,
    /// Where changes go on.
    pub next: u64,
    /// Changes, in order; earlier news has told some of them.
    pub parts: Vec<StorePart>,
}
