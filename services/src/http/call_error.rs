use thiserror::Error;

/// How a call of a service failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// No whole answer came; the call may have taken effect.
    #[error("{url}: no answer: {reason}")]
    NoResponse {
        /// What was called.
        url: String,
        /// What happened.
        reason: String,
    },
    /// The service answered with an error status.
    #[error("{url}: status {status}: {text}")]
    Status {
        /// What was called.
        url: String,
        /// The HTTP status.
        status: u16,
        /// The start of the answer.
        text: String,
    },
    /// The answer is not of the expected form.
    #[error("{url}: answer cannot be read: {reason}")]
    InvalidResponse {
        /// What was called.
        url: String,
        /// What is wrong.
        reason: String,
    },
}
