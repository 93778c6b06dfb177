use {crate::codec::FrameError, pitchhitch_core::errors::ErrorKind, thiserror::Error};

/// How a call over a link failed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// Nothing of the call was sent.
    #[error("no link to the agent: {reason}")]
    NotSent {
        /// What stood in the way.
        reason: String,
    },
    /// The link broke after something may have been sent.
    #[error("link to the agent broke: {reason}")]
    Broken {
        /// What happened.
        reason: String,
    },
    /// What came was no message, or none that fits.
    #[error("bad message on the link: {0}")]
    BadFrame(#[from] FrameError),
}

impl LinkError {
    /// The error kind that callers are answered with.
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
