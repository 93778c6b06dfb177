use {
    super::{ErrorResponse, RunState},
    serde::{Deserialize, Serialize},
};

/// Closed list of the errors that end a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ErrorKind {
    /// The body is not JSON of the shape that the path requires.
    MalformedBody,
    /// The body exceeds the limit in the settings.
    BodyTooLarge,
    /// The bearer key is missing or belongs to no organisation.
    BadKey,
    /// The model is not in the configuration.
    UnknownModel,
    /// The path matches no service.
    UnknownPath,
    /// The request id is unknown or belongs to another organisation.
    UnknownRequest,
    /// A header has an invalid value.
    BadHeader,
    /// The selectors admit no endpoint for this work.
    NothingSelected,
    /// Endpoints are admitted, but none of them is usable now.
    NoneAvailable,
    /// The organisation exceeds its rate or concurrency limit.
    OverLimit,
    /// This process is at capacity.
    Overloaded,
    /// The deadline can no longer be met.
    DeadlinePassed,
    /// The agent refused: its endpoint is draining.
    EndpointLeaving,
    /// The agent refused: the endpoint serves another weight version.
    WrongVersion,
    /// The agent refused: the endpoint is full.
    EndpointFull,
    /// The endpoint could not be reached; no byte was sent.
    EndpointUnreachable,
    /// The endpoint was lost after the request may have reached it.
    EndpointLost,
    /// The endpoint's response violated its protocol.
    BadAnswer,
    /// The idempotency key was used before, and the first request with it may have run.
    AlreadyStarted,
    /// It is unknown whether the idempotency key was used before, as the table service gave no
    /// conclusive response.
    CannotSettle,
    /// A message from another process could not be decoded.
    BadMessage,
    /// This process has no configuration yet.
    NotReady,
    /// The caller closed the connection.
    CallerGone,
}

impl ErrorKind {
    /// All kinds, in declaration order.
    pub const ALL: [ErrorKind; 23] = [
        ErrorKind::MalformedBody,
        ErrorKind::BodyTooLarge,
        ErrorKind::BadKey,
        ErrorKind::UnknownModel,
        ErrorKind::UnknownPath,
        ErrorKind::UnknownRequest,
        ErrorKind::BadHeader,
        ErrorKind::NothingSelected,
        ErrorKind::NoneAvailable,
        ErrorKind::OverLimit,
        ErrorKind::Overloaded,
        ErrorKind::DeadlinePassed,
        ErrorKind::EndpointLeaving,
        ErrorKind::WrongVersion,
        ErrorKind::EndpointFull,
        ErrorKind::EndpointUnreachable,
        ErrorKind::EndpointLost,
        ErrorKind::BadAnswer,
        ErrorKind::AlreadyStarted,
        ErrorKind::CannotSettle,
        ErrorKind::BadMessage,
        ErrorKind::NotReady,
        ErrorKind::CallerGone,
    ];

    /// The response sent to the caller.
    pub fn response(self) -> &'static ErrorResponse {
        ErrorResponse::for_kind(self)
    }

    /// Whether a request that failed with this error may have run.
    pub fn run_state(self) -> RunState {
        self.response().run_state
    }

    /// Whether even a non-idempotent request may be retried on another endpoint.
    pub fn proves_not_run(self) -> bool {
        self.run_state() == RunState::NotRun
    }
}
