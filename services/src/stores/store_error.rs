use {crate::http::CallError, thiserror::Error};

/// Why a piece could not be stored or read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call to the store box failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The store box does not have the piece, or only another generation of it.
    #[error("the store box does not have this generation of the piece")]
    Missing,
    /// The store box is full.
    #[error("the store box is full")]
    Full,
    /// The received data is not the sealed piece.
    #[error("the piece is damaged: {reason}")]
    Damaged {
        /// Description of the defect.
        reason: String,
    },
}
