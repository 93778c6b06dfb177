use thiserror::Error;

/// Why bytes from another process are no message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The sender speaks another version.
    #[error(
        "frame has version {found}, this process speaks {wanted}; update the older of the two"
    )]
    Version {
        /// Version in the frame.
        found: u8,
        /// Version of this process.
        wanted: u8,
    },
    /// The length in the frame is over the limit.
    #[error("frame is {found} bytes long, the limit is {limit}")]
    TooLong {
        /// Length in the frame.
        found: usize,
        /// The limit.
        limit: usize,
    },
    /// The stream ended within a frame.
    #[error("stream ended within a frame")]
    Truncated,
    /// The body is no message.
    #[error("frame cannot be decoded: {reason}")]
    Malformed {
        /// What the decoder found.
        reason: String,
    },
}
