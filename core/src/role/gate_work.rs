use {
    crate::{errors::ErrorKind, time::Micros},
    serde::{Deserialize, Serialize},
};

/// Number that an agent gives to work handed to it; unique within its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkTicket(pub u64);

/// What the gate of an agent needs to know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct GateWork {
    /// Organisation it is for.
    pub organisation: String,
    /// Weight version it was decided for; none for plain services.
    pub version: Option<String>,
    /// Prompt tokens that are likely to be computed.
    pub tokens: u32,
    /// When its answer must have begun.
    pub deadline: Micros,
}

/// Why the gate refused work; it is proven not to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// The work.
    pub ticket: WorkTicket,
    /// Why.
    pub kind: ErrorKind,
}
