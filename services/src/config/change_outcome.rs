use {pitchhitch_core::conf::ChangeError, thiserror::Error};

/// Why a change is not known to have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeFailure {
    /// The change was rejected and has no effect.
    #[error("refused: {0}")]
    Refused(#[from] ChangeError),
    /// The outcome is unknown; sending the same change id again is safe.
    #[error("unknown whether the change took effect ({reason}); repeat it with --change-id {change_id}, which is safe")]
    Unknown {
        /// Id of the change.
        change_id: String,
        /// Description of the failure.
        reason: String,
    },
    /// The current state could not be read, or other changes always came first; the
    /// change was not written.
    #[error("not accepted: the platform does not respond ({reason}); try again later")]
    NotAccepted {
        /// Description of the failure.
        reason: String,
    },
}

/// A change that has taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Revision created by the change.
    pub revision: u64,
    /// Whether the change had already been accepted under the same id.
    pub repeated: bool,
}
