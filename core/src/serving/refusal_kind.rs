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
pub struct RefusalRow {
    /// Status code.
    pub status: u16,
    /// Word for logs and for the caller.
    pub word: &'static str,
    /// What the caller can do.
    pub advice: &'static str,
    /// When the caller may come back, where that helps.
    pub come_back: Option<Micros>,
    /// Whether the connection ends with the answer.
    pub closes: bool,
}

/// A short while, for what another endpoint or box may take at once.
const SOON: Micros = Micros::from_millis(40);
/// A while in which a queue of engines gets shorter.
const LATER: Micros = Micros::from_millis(600);
/// A while in which a store can be reached again.
const STORE_PAUSE: Micros = Micros::from_millis(400);

impl RefusalKind {
    /// The answer for this kind.
    pub fn row(self) -> RefusalRow {
        let row = |status, word, advice| RefusalRow {
            status,
            word,
            advice,
            come_back: None,
            closes: false,
        };
        let back = |word, advice, time| RefusalRow {
            come_back: Some(time),
            ..row(503, word, advice)
        };
        match self {
            RefusalKind::NoConfig => back("no-config", "try another box", SOON),
            RefusalKind::StaleKeys => back("stale-keys", "try another box", STORE_PAUSE),
            RefusalKind::NoEndpoint => back("no-endpoint", "come back later", LATER),
            RefusalKind::Overloaded => back("overloaded", "come back later", LATER),
            RefusalKind::EndpointRefused => back("endpoint-refused", "come back", SOON),
            RefusalKind::BudgetSpent => back("budget-spent", "come back", SOON),
            RefusalKind::NeverSent => back("never-sent", "come back", SOON),
            RefusalKind::Suspected => back("suspected", "come back later", LATER),
            RefusalKind::HeldBack => row(429, "held-back", "servers end under it; do not repeat"),
            RefusalKind::Stopping => back("stopping", "try another box", SOON),
            RefusalKind::UnknownRoute => row(404, "unknown-route", "check host and path"),
            RefusalKind::UnknownKey => row(401, "unknown-key", "check the key"),
            RefusalKind::EndpointLost => row(502, "endpoint-lost", "it may have run"),
            RefusalKind::BadAnswer => row(502, "bad-answer", "it may have run"),
            RefusalKind::TimedOut => row(504, "timed-out", "it may have run"),
            RefusalKind::BadRequest => closing(row(400, "bad-request", "check the request")),
            RefusalKind::HeadTooLong => closing(row(431, "head-too-long", "send a shorter head")),
            RefusalKind::BodyTooLong => closing(row(413, "body-too-long", "send a shorter body")),
            RefusalKind::SlowRequest => closing(row(408, "slow-request", "send it faster")),
        }
    }
}

fn closing(row: RefusalRow) -> RefusalRow {
    RefusalRow {
        closes: true,
        ..row
    }
}
