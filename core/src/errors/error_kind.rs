use {
    super::{ErrorResponse, RunState},
    serde::{Deserialize, Serialize},
};

/// Everything that can go wrong with a request, as a closed list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ErrorKind {
    /// The body is not the JSON that the path wants.
    MalformedBody,
    /// The body is longer than the limit in the settings.
    BodyTooLarge,
    /// No bearer key, or one that no organisation has.
    BadKey,
    /// The model is not in the configuration.
    UnknownModel,
    /// The path belongs to no service.
    UnknownPath,
    /// The request id is unknown or belongs to another organisation.
    UnknownRequest,
    /// A header has a value that cannot be used.
    BadHeader,
    /// The selectors admit no endpoint for this work.
    NothingSelected,
    /// Endpoints are selected, but none of them is usable now.
    NoneAvailable,
    /// The organisation is over its rate or its concurrency.
    OverLimit,
    /// This process holds as much work as it may.
    Overloaded,
    /// The deadline cannot be met any more.
    DeadlinePassed,
    /// The agent refused: its endpoint is leaving.
    EndpointLeaving,
    /// The agent refused: the endpoint holds another weight version.
    WrongVersion,
    /// The agent refused: the endpoint is full.
    EndpointFull,
    /// The endpoint could not be reached; no byte was sent.
    EndpointUnreachable,
    /// The endpoint was lost after the request may have reached it.
    EndpointLost,
    /// The endpoint's answer broke its protocol.
    BadAnswer,
    /// The idempotency key was used before and its first request may have run.
    AlreadyStarted,
    /// The table service cannot settle whether the key was used before.
    CannotSettle,
    /// A message from another process could not be decoded.
    BadMessage,
    /// This process has no configuration yet.
    NotReady,
    /// The caller went away.
    CallerGone,
}

impl ErrorKind {
    /// Every kind, in the order of the table.
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

    /// What the caller is answered.
    pub fn response(self) -> &'static ErrorResponse {
        ErrorResponse::for_kind(self)
    }

    /// Whether a request that ended so may have run.
    pub fn run_state(self) -> RunState {
        self.response().run_state
    }

    /// Whether another endpoint may be tried for a request that may not be repeated.
    pub fn proves_not_run(self) -> bool {
        self.run_state() == RunState::NotRun
    }
}
