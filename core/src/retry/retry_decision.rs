use crate::{errors::ErrorKind, time::Micros};

/// Maximum number of attempts per request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

/// State of a request after a failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Error of the attempt.
    pub kind: ErrorKind,
    /// Whether the request is idempotent.
    pub repeatable: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// Time by which the response must have begun.
    pub deadline: Micros,
    /// Current time.
    pub now: Micros,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Retry on another endpoint, if the retry budget allows it.
    RetryElsewhere,
    /// Return the error to the caller.
    GiveUp,
}

/// Decides whether to retry after a failed attempt, regardless of the budget.
///
/// A request that is not idempotent is retried only if it is known not to have run.
pub fn decide_retry(failed: &FailedAttempt) -> RetryStep {
    if failed.attempts >= MAX_ATTEMPTS || failed.now >= failed.deadline {
        return RetryStep::GiveUp;
    }
    if !is_retryable(failed.kind) {
        return RetryStep::GiveUp;
    }
    if failed.kind.proves_not_run() || failed.repeatable {
        RetryStep::RetryElsewhere
    } else {
        RetryStep::GiveUp
    }
}

fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::EndpointLeaving
            | ErrorKind::WrongVersion
            | ErrorKind::EndpointFull
            | ErrorKind::EndpointUnreachable
            | ErrorKind::EndpointLost
            | ErrorKind::BadAnswer
            | ErrorKind::BadMessage
    )
}
