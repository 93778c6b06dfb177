use crate::{errors::ErrorKind, time::Micros};

/// Tries of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;

/// What is known of a request when one of its attempts has failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// How it failed.
    pub kind: ErrorKind,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Tries so far.
    pub attempts: u32,
    /// When the answer must have begun.
    pub deadline: Micros,
    /// Now.
    pub now: Micros,
}

/// What is done about a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Another endpoint is tried, and the try is taken out of the budget.
    RetryElsewhere,
    /// The caller is told.
    GiveUp,
}

/// Decides about a failed try, the budget apart.
///
/// A request that may not be repeated is handed on only with proof that it did not run.
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
