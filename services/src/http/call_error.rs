use thiserror::Error;

/// Error of a call to a service.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// No complete response was received; the call may have taken effect.
    #[error("{url}: no response: {reason}")]
    NoResponse {
        /// URL of the call.
        url: String,
        /// Description of the failure.
        reason: String,
    },
    /// The service responded with an error status.
    #[error("{url}: status {status}: {text}")]
    Status {
        /// URL of the call.
        url: String,
        /// HTTP status.
        status: u16,
        /// Start of the response body.
        text: String,
    },
    /// The response does not have the expected form, or the request cannot be encoded.
    #[error("{url}: invalid response: {reason}")]
    InvalidResponse {
        /// URL of the call.
        url: String,
        /// Description of the defect.
        reason: String,
    },
}
