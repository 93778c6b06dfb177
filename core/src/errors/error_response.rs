use super::{ErrorKind, RunState};

/// Response to one kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// The `type` field of the error object, as in the OpenAI API.
    pub error_type: &'static str,
    /// The `code` field of the error object; stable, meant for programs.
    pub code: &'static str,
    /// Whether the request may have run.
    pub run_state: RunState,
    /// Seconds after which the caller may retry, if a retry can succeed.
    pub retry_after: Option<u32>,
    /// Advice to the caller.
    pub remedy: &'static str,
}

const INVALID: &str = "invalid_request_error";
const AUTH: &str = "authentication_error";
const LIMIT: &str = "rate_limit_error";
const SERVER: &str = "server_error";

const fn response(
    status: u16,
    error_type: &'static str,
    code: &'static str,
    run_state: RunState,
    retry_after: Option<u32>,
    remedy: &'static str,
) -> ErrorResponse {
    ErrorResponse {
        status,
        error_type,
        code,
        run_state,
        retry_after,
        remedy,
    }
}

use RunState::{NotRun, Unknown};

static MALFORMED_BODY: ErrorResponse = response(
    400,
    INVALID,
    "malformed_body",
    NotRun,
    None,
    "send a JSON body of the documented shape",
);
static BODY_TOO_LARGE: ErrorResponse = response(
    413,
    INVALID,
    "body_too_large",
    NotRun,
    None,
    "send a shorter body",
);
static BAD_KEY: ErrorResponse = response(
    401,
    AUTH,
    "invalid_api_key",
    NotRun,
    None,
    "send a valid key as a bearer token",
);
static UNKNOWN_MODEL: ErrorResponse = response(
    404,
    INVALID,
    "model_not_found",
    NotRun,
    None,
    "name a model that GET /v1/models lists",
);
static UNKNOWN_PATH: ErrorResponse = response(
    404,
    INVALID,
    "unknown_path",
    NotRun,
    None,
    "use a path of the API or of a routed service",
);
static UNKNOWN_REQUEST: ErrorResponse = response(
    404,
    INVALID,
    "unknown_request",
    NotRun,
    None,
    "name a recent request of your organisation",
);
static BAD_HEADER: ErrorResponse = response(
    400,
    INVALID,
    "bad_header",
    NotRun,
    None,
    "correct the header named in the message",
);
static NOTHING_SELECTED: ErrorResponse = response(
    503,
    SERVER,
    "nothing_selected",
    NotRun,
    Some(5),
    "ask the operator: no selector admits an endpoint for this work",
);
static NONE_AVAILABLE: ErrorResponse = response(
    503,
    SERVER,
    "none_available",
    NotRun,
    Some(2),
    "retry after the time in Retry-After",
);
static OVER_LIMIT: ErrorResponse = response(
    429,
    LIMIT,
    "over_limit",
    NotRun,
    Some(1),
    "slow down; retry after the time in Retry-After",
);
static OVERLOADED: ErrorResponse = response(
    503,
    SERVER,
    "overloaded",
    NotRun,
    Some(1),
    "retry after the time in Retry-After",
);
static DEADLINE_PASSED: ErrorResponse = response(
    504,
    SERVER,
    "deadline_passed",
    NotRun,
    Some(1),
    "retry with a later deadline",
);
static ENDPOINT_LEAVING: ErrorResponse = response(
    503,
    SERVER,
    "endpoint_leaving",
    NotRun,
    Some(1),
    "retry after the time in Retry-After",
);
static WRONG_VERSION: ErrorResponse = response(
    503,
    SERVER,
    "wrong_version",
    NotRun,
    Some(1),
    "retry after the time in Retry-After",
);
static ENDPOINT_FULL: ErrorResponse = response(
    503,
    SERVER,
    "endpoint_full",
    NotRun,
    Some(1),
    "retry after the time in Retry-After",
);
static ENDPOINT_UNREACHABLE: ErrorResponse = response(
    503,
    SERVER,
    "endpoint_unreachable",
    NotRun,
    Some(1),
    "retry after the time in Retry-After",
);
static ENDPOINT_LOST: ErrorResponse = response(
    502,
    SERVER,
    "endpoint_lost",
    Unknown,
    None,
    "check whether it ran before you repeat it",
);
static BAD_ANSWER: ErrorResponse = response(
    502,
    SERVER,
    "bad_answer",
    Unknown,
    None,
    "check whether it ran before you repeat it",
);
static ALREADY_STARTED: ErrorResponse = response(
    409,
    INVALID,
    "already_started",
    Unknown,
    None,
    "check whether the first request ran",
);
static CANNOT_SETTLE: ErrorResponse = response(
    503,
    SERVER,
    "cannot_settle",
    NotRun,
    Some(5),
    "retry with the same idempotency key after the time in Retry-After",
);
static BAD_MESSAGE: ErrorResponse = response(
    502,
    SERVER,
    "bad_message",
    Unknown,
    None,
    "check whether it ran before you repeat it",
);
static NOT_READY: ErrorResponse = response(
    503,
    SERVER,
    "not_ready",
    NotRun,
    Some(2),
    "retry after the time in Retry-After",
);
static CALLER_GONE: ErrorResponse = response(
    499,
    INVALID,
    "caller_gone",
    Unknown,
    None,
    "the connection was closed by the caller",
);

impl ErrorResponse {
    /// The response to one kind of error.
    pub fn for_kind(kind: ErrorKind) -> &'static ErrorResponse {
        match kind {
            ErrorKind::MalformedBody => &MALFORMED_BODY,
            ErrorKind::BodyTooLarge => &BODY_TOO_LARGE,
            ErrorKind::BadKey => &BAD_KEY,
            ErrorKind::UnknownModel => &UNKNOWN_MODEL,
            ErrorKind::UnknownPath => &UNKNOWN_PATH,
            ErrorKind::UnknownRequest => &UNKNOWN_REQUEST,
            ErrorKind::BadHeader => &BAD_HEADER,
            ErrorKind::NothingSelected => &NOTHING_SELECTED,
            ErrorKind::NoneAvailable => &NONE_AVAILABLE,
            ErrorKind::OverLimit => &OVER_LIMIT,
            ErrorKind::Overloaded => &OVERLOADED,
            ErrorKind::DeadlinePassed => &DEADLINE_PASSED,
            ErrorKind::EndpointLeaving => &ENDPOINT_LEAVING,
            ErrorKind::WrongVersion => &WRONG_VERSION,
            ErrorKind::EndpointFull => &ENDPOINT_FULL,
            ErrorKind::EndpointUnreachable => &ENDPOINT_UNREACHABLE,
            ErrorKind::EndpointLost => &ENDPOINT_LOST,
            ErrorKind::BadAnswer => &BAD_ANSWER,
            ErrorKind::AlreadyStarted => &ALREADY_STARTED,
            ErrorKind::CannotSettle => &CANNOT_SETTLE,
            ErrorKind::BadMessage => &BAD_MESSAGE,
            ErrorKind::NotReady => &NOT_READY,
            ErrorKind::CallerGone => &CALLER_GONE,
        }
    }
}
