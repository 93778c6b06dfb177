use {crate::codec::FrameError, pitchhitch_core::errors::ErrorKind, thiserror::Error};

/// Error of a call over a link.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No byte of the call was sent.
    #[error("call not sent over the agent link: {reason}")]
    NotSent {
        /// Cause.
        reason: String,
    },
    /// The link failed after part of the call may have been sent.
    #[error("agent link failed: {reason}")]
    Broken {
        /// Cause.
        reason: String,
    },
    /// A message could not be encoded or decoded.
    #[error("invalid message on the agent link: {0}")]
    BadFrame(#[from] FrameError),
}

impl LinkError {
    /// Returns the error kind that the caller of the request receives.
    pub fn kind(&self) -> ErrorKind {
        match self {
            LinkError::NotSent { .. } => ErrorKind::EndpointUnreachable,
            LinkError::Broken { .. } => ErrorKind::EndpointLost,
            LinkError::BadFrame(_) => ErrorKind::BadMessage,
        }
    }

    pub(super) fn broken(error: h2::Error) -> Self {
        LinkError::Broken {
            reason: error.to_string(),
        }
    }

    pub(super) fn not_sent(error: impl std::fmt::Display) -> Self {
        LinkError::NotSent {
            reason: error.to_string(),
        }
    }
}
