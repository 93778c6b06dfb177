use thiserror::Error;

/// Why a message cannot be encoded, or received bytes cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The sender uses another version of the message format.
    #[error("frame has version {found}, this process requires {wanted}; update the older process")]
    Version {
        /// Version in the frame header.
        found: u8,
        /// Version of this process.
        wanted: u8,
    },
    /// The body exceeds the limit.
    #[error("frame body of {found} bytes exceeds the limit of {limit} bytes")]
    TooLong {
        /// Length of the body, in bytes.
        found: usize,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The stream ended within a frame.
    #[error("stream ended within a frame")]
    Truncated,
    /// The body cannot be encoded or decoded.
    #[error("invalid frame body: {reason}")]
    Malformed {
        /// Error of the codec.
        reason: String,
    },
}
