use crate::{errors::ErrorKind, time::Micros};

/// Tries of one request, the first included.
pub const MAX_TRIES: u32 = 4;

/// What is known of a request when one of its tries has failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedTry {
    /// How it failed.
    pub kind: ErrorKind,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Tries so far.
    pub tries: u32,
    /// When the answer must have begun.
    pub deadline: Micros,
    /// Now.
    pub now: Micros,
}

/// What is done about a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Another endpoint is tried, and the try is taken out of the budget.
    TryAnother,
    /// The caller is told.
    GiveUp,
}

/// Decides about a failed try, the budget apart.
///
/// A request that may not be repeated is handed on only with proof that it did not run.
pub fn after_failure(failed: &FailedTry) -> RetryStep {
    if failed.tries >= MAX_TRIES || failed.now >= failed.deadline {
        return RetryStep::GiveUp;
    }
    if !is_worth_another(failed.kind) {
        return RetryStep::GiveUp;
    }
    if failed.kind.proves_not_run() || failed.repeatable {
        RetryStep::TryAnother
    } else {
        RetryStep::GiveUp
    }
}

fn is_worth_another(kind: ErrorKind) -> bool {
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
