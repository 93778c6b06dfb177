use {
    crate::time::Micros,
    serde::{Deserialize, Serialize},
};

/// A published version of a model's weights, as reported to another box.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightPublication {
    /// Model.
    pub model: String,
    /// Published version.
    pub version: u64,
    /// Newest version before it, if known; 0 if there was none.
    #[serde(rename = "after")]
    pub previous: Option<u64>,
    /// Longest time for which it can have been published, if known.
    pub age: Option<Micros>,
}
