use thiserror::Error;

/// Why the head of a message cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The bytes are no head.
    #[error("these bytes are no HTTP/1.1 head; look at what the sender writes")]
    Malformed,
    /// The head is longer than the limit.
    #[error("the head is over its limit; send fewer or shorter headers")]
    TooLong,
    /// The message says its length in two ways, or in one that is not known.
    #[error("the length of the body is not clear; send one length, or chunks")]
    AmbiguousLength,
}
