use {
    crate::time::Micros,
    serde::{Deserialize, Serialize},
};

/// Named weights, as one box tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldNaming {
    /// Model.
    pub model: String,
    /// Version that was named.
    pub version: u64,
    /// Newest version until then, where that is known; 0 where none was named.
    pub after: Option<u64>,
    /// For how long at most it has been named, where that is known.
    pub age: Option<Micros>,
}
