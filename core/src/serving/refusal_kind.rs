use crate::time::Micros;

/// Why a request gets an answer of our own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalKind {
    /// No configuration is known yet.
    NoConfig,
    /// No route has this host and path.
    UnknownRoute,
    /// No organisation has this key.
    UnknownKey,
    /// What is known of the keys is too old to let anybody in.
    StaleKeys,
    /// No endpoint can take it.
    NoEndpoint,
    /// It would not be served in time.
    Overloaded,
    /// The endpoint said that it did not run it, and nobody else may try.
    EndpointRefused,
    /// All that may be sent again has been sent.
    BudgetSpent,
    /// Its head or body cannot be read.
    BadRequest,
    /// Its head is too long.
    HeadTooLong,
    /// Its body is too long.
    BodyTooLong,
    /// Its head or body did not come in time.
    SlowRequest,
    /// The endpoint was lost and may have run it.
    EndpointLost,
    /// The endpoint's bytes are no answer to it.
    BadAnswer,
    /// Its time ran out at an endpoint.
    TimedOut,
    /// Its time ran out before an endpoint was asked.
    NeverSent,
    /// The process stops.
    Stopping,
    /// Endpoints ended under it of late: it is not tried just now.
    Suspected,
    /// Endpoints ended under it again and again: it is held back.
    HeldBack,
}

/// One row of the table from kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalResponse {
    /// Status code.
    pub status: u16,
    /// Word for logs and for the caller.
    pub code: &'static str,
    /// What the caller can do.
    pub advice: &'static str,
    /// When the caller may come back, where that helps.
    pub retry_after: Option<Micros>,
    /// Whether the connection ends with the answer.
    pub closes: bool,
}

/// A short while, for what another endpoint or box may take at once.
const RETRY_SOON: Micros = Micros::from_millis(40);
/// A while in which a queue of engines gets shorter.
const RETRY_LATER: Micros = Micros::from_millis(600);
/// A while in which a store can be reached again.
const RETRY_STORE: Micros = Micros::from_millis(400);

impl RefusalKind {
    /// The answer for this kind.
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
            RefusalKind::Overloaded => retryable("overloaded", "come back later", RETRY_LATER),
            RefusalKind::EndpointRefused => retryable("endpoint-refused", "come back", RETRY_SOON),
            RefusalKind::BudgetSpent => retryable("budget-spent", "come back", RETRY_SOON),
            RefusalKind::NeverSent => retryable("never-sent", "come back", RETRY_SOON),
            RefusalKind::Suspected => retryable("suspected", "come back later", RETRY_LATER),
            RefusalKind::HeldBack => {
                response(429, "held-back", "servers end under it; do not repeat")
            }
            RefusalKind::Stopping => retryable("stopping", "try another box", RETRY_SOON),
            RefusalKind::UnknownRoute => response(404, "unknown-route", "check host and path"),
            RefusalKind::UnknownKey => response(401, "unknown-key", "check the key"),
            RefusalKind::EndpointLost => response(502, "endpoint-lost", "it may have run"),
            RefusalKind::BadAnswer => response(502, "bad-answer", "it may have run"),
            RefusalKind::TimedOut => response(504, "timed-out", "it may have run"),
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
