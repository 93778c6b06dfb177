use {
    crate::{errors::ErrorKind, time::Micros},
    serde::{Deserialize, Serialize},
};

/// Number that an agent assigns to a request, unique within its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkTicket(pub u64);

/// Properties of a request on which the admission gate of an agent decides.
#[derive(Debug, Clone, PartialEq)]
pub struct GateWork {
    /// Organisation of the caller.
    pub organisation: String,
    /// Weight version that the request was routed for; none for a service.
    pub version: Option<String>,
    /// Estimated prompt tokens to compute.
    pub tokens: u32,
    /// Time by which the response must have started.
    pub deadline: Micros,
}

/// Refusal of a request by the gate. The request is known not to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// Ticket of the request.
    pub ticket: WorkTicket,
    /// Reason.
    pub kind: ErrorKind,
}
