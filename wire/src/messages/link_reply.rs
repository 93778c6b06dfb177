use {
    super::HeaderField,
    pitchhitch_core::{
        errors::ErrorKind,
        lease::FenceRefusal,
        role::{AgentPulse, EventBatch, WorkTicket},
    },
    serde::{Deserialize, Serialize},
};

/// What an agent answers; several to a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkReply {
    /// The request did not run.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// State of the agent.
        pulse: AgentPulse,
    },
    /// The endpoint began to answer.
    Head(ReplyHead),
    /// Part of the answer's body.
    Chunk(Vec<u8>),
    /// The answer is whole.
    End {
        /// Bytes of body in all, as a check.
        body_bytes: u64,
        /// State of the agent.
        pulse: AgentPulse,
    },
    /// The endpoint failed after the request may have reached it.
    Failed {
        /// How.
        kind: ErrorKind,
        /// State of the agent.
        pulse: AgentPulse,
    },
    /// First answer to a subscription.
    Hello {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Life of the agent.
        incarnation: u64,
    },
    /// Events of a subscription.
    Events(EventBatch),
    /// A notice or an order has come.
    Taken,
    /// A request has come; more follows.
    TakenUp {
        /// Number that the agent gave to it.
        ticket: WorkTicket,
    },
    /// An order was refused.
    OrderRefused(FenceRefusal),
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<HeaderField>,
    /// Prompt tokens that the endpoint computed, if it says so.
    pub computed_tokens: Option<u32>,
    /// Pieces that were imported.
    pub imported_pieces: u32,
    /// Microseconds that the import took.
    pub import_micros: u64,
    /// State of the agent.
    pub pulse: AgentPulse,
}
