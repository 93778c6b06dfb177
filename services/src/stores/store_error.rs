use {crate::http::CallError, thiserror::Error};

/// Why a piece could not be stored or read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The box could not be asked.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The box does not have the piece, or has another generation of it.
    #[error("the store box does not have this generation of the piece")]
    Missing,
    /// The box is full.
    #[error("the store box is full")]
    Full,
    /// What came is not the sealed piece.
    #[error("the piece is damaged: {reason}")]
    Damaged {
        /// What is wrong.
        reason: String,
    },
}
