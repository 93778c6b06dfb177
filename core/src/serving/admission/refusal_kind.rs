use crate::time::Micros;

/// Reason why a front answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalKind {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches the host and path.
    UnknownRoute,
    /// No organisation has this key.
    UnknownKey,
    /// The known keys are too old to accept callers.
    StaleKeys,
    /// No endpoint can take the request.
    NoEndpoint,
    /// The request continues a stream, and it is unknown which software began it.
    UnknownOrigin,
    /// The request would not be served in time.
    Overloaded,
    /// The endpoint reported that it did not run the request, and no retry is allowed.
    EndpointRefused,
    /// The retry budget is used up.
    BudgetSpent,
    /// The headers or the body are malformed.
    BadRequest,
    /// The headers are too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The headers or the body did not arrive in time.
    SlowRequest,
    /// The connection to the endpoint was lost, and the endpoint may have run the request.
    EndpointLost,
    /// The endpoint sent a malformed answer.
    BadAnswer,
    /// The deadline passed at an endpoint.
    TimedOut,
    /// The deadline passed before the request was sent to an endpoint.
    NeverSent,
    /// The process is shutting down.
    Stopping,
    /// The process exits before the endpoint has responded, which may have run the request.
    Stopped,
    /// Endpoints have recently crashed during this request; it may be retried later.
    Suspected,
    /// Endpoints have crashed during this request repeatedly; it is blocked.
    Blocked,
}

/// Response for a refusal kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalResponse {
    /// Status code.
    pub status: u16,
    /// Error code for logs and for the caller.
    pub code: &'static str,
    /// Advice for the caller.
    pub advice: &'static str,
    /// Time after which the caller may retry, if that helps.
    pub retry_after: Option<Micros>,
    /// Whether the connection is closed after the response.
    pub closes: bool,
}

/// Another endpoint or box may take the request at once.
const RETRY_SOON: Micros = Micros::from_millis(40);
/// Time in which the queues of engines get shorter.
const RETRY_LATER: Micros = Micros::from_millis(600);
/// Time in which a store may become reachable again.
const RETRY_STORE: Micros = Micros::from_millis(400);

impl RefusalKind {
    /// Response for this kind.
    pub fn response(self) -> RefusalResponse {
        let response = |status, code, advice| RefusalResponse {
            status,
            code,
            advice,
            retry_after: None,
            closes: false,
        };
        let retryable = |code, advice, delay| RefusalResponse {
            retry_after: Some(delay),
            ..response(503, code, advice)
        };
        match self {
            RefusalKind::NoConfig => retryable("no-config", "try another box", RETRY_SOON),
            RefusalKind::StaleKeys => retryable("stale-keys", "try another box", RETRY_STORE),
            RefusalKind::NoEndpoint => retryable("no-endpoint", "come back later", RETRY_LATER),
            RefusalKind::UnknownOrigin => retryable("unknown-origin", "begin anew", RETRY_SOON),
            RefusalKind::Overloaded => retryable("overloaded", "come back later", RETRY_LATER),
            RefusalKind::EndpointRefused => retryable("endpoint-refused", "come back", RETRY_SOON),
            RefusalKind::BudgetSpent => retryable("budget-spent", "come back", RETRY_SOON),
            RefusalKind::NeverSent => retryable("never-sent", "come back", RETRY_SOON),
            RefusalKind::Suspected => retryable("suspected", "come back later", RETRY_LATER),
            RefusalKind::Blocked => {
                response(429, "held-back", "servers end under it; do not repeat")
            }
            RefusalKind::Stopping => retryable("stopping", "try another box", RETRY_SOON),
            RefusalKind::UnknownRoute => response(404, "unknown-route", "check host and path"),
            RefusalKind::UnknownKey => response(401, "unknown-key", "check the key"),
            RefusalKind::EndpointLost => response(502, "endpoint-lost", "it may have run"),
            RefusalKind::BadAnswer => response(502, "bad-answer", "it may have run"),
            RefusalKind::TimedOut => response(504, "timed-out", "it may have run"),
            RefusalKind::Stopped => response(504, "stopped", "it may have run"),
            RefusalKind::BadRequest => closing(response(400, "bad-request", "check the request")),
            RefusalKind::HeadTooLong => {
                closing(response(431, "head-too-long", "send a shorter head"))
            }
            RefusalKind::BodyTooLong => {
                closing(response(413, "body-too-long", "send a shorter body"))
            }
            RefusalKind::SlowRequest => closing(response(408, "slow-request", "send it faster")),
        }
    }
}

fn closing(response: RefusalResponse) -> RefusalResponse {
    RefusalResponse {
        closes: true,
        ..response
    }
}
