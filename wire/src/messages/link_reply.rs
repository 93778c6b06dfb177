use {
    super::HeaderField,
    pitchhitch_core::{
        errors::ErrorKind,
        lease::FenceRefusal,
        role::{AgentPulse, EventBatch, WorkTicket},
    },
    serde::{Deserialize, Serialize},
};

/// Reply of an agent; there can be several per stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkReply {
    /// The request was refused and did not run.
    Refused {
        /// Reason.
        kind: ErrorKind,
        /// State of the agent.
        pulse: AgentPulse,
    },
    /// The endpoint started its response.
    Head(ReplyHead),
    /// Part of the response body.
    Chunk(Vec<u8>),
    /// The response is complete.
    End {
        /// Total length of the body, in bytes, so that the receiver can verify it.
        body_bytes: u64,
        /// State of the agent.
        pulse: AgentPulse,
    },
    /// The request failed after it may have reached the endpoint.
    Failed {
        /// Kind of failure.
        kind: ErrorKind,
        /// State of the agent.
        pulse: AgentPulse,
    },
    /// First reply to a subscription.
    Hello {
        /// Id of the endpoint.
        endpoint_id: String,
        /// Start time of the agent, in microseconds since 1970.
        incarnation: u64,
    },
    /// Events of a subscription.
    Events(EventBatch),
    /// A notice, a drop or an order was accepted.
    Taken,
    /// A request was received; further replies follow.
    TakenUp {
        /// Number that the agent assigned to it.
        ticket: WorkTicket,
    },
    /// An order was refused.
    OrderRefused(FenceRefusal),
}

/// Status and headers of a response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: Vec<HeaderField>,
    /// Prompt tokens that the endpoint computed, if it reports them.
    pub computed_tokens: Option<u32>,
    /// Number of imported pieces.
    pub imported_pieces: u32,
    /// Duration of the import, in microseconds.
    pub import_micros: u64,
    /// State of the agent.
    pub pulse: AgentPulse,
}
