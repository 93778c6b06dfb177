use {
    pitchhitch_core::time::Micros,
    serde::{Deserialize, Serialize},
};

/// Named weights, as one process tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedNaming {
    /// Model.
    pub model: String,
    /// Newest version that is named.
    pub version: u64,
    /// For how long at most it has been named, where that is known.
    pub age: Option<Micros>,
}
