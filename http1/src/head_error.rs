use thiserror::Error;

/// Why the head or the framing of a message is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The bytes are not a valid message head or chunk.
    #[error("malformed HTTP/1.1 message; check what the sender writes")]
    Malformed,
    /// The head exceeds the limit on its length or on its number of headers.
    #[error("message head too large; send fewer or shorter headers")]
    TooLong,
    /// The body length is stated more than once, or in an invalid or unsupported form.
    #[error("ambiguous body length; send one Content-Length or chunked transfer coding")]
    AmbiguousLength,
}
