use {pitchhitch_core::conf::ChangeError, thiserror::Error};

/// Why a change is not known to be in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeFailure {
    /// It was refused and has no effect.
    #[error("refused: {0}")]
    Refused(#[from] ChangeError),
    /// Nobody knows; the same change id may be sent again without harm.
    #[error("unknown whether the change took effect ({reason}); repeat it with --change-id {change_id}, which is safe")]
    Unknown {
        /// Id of the change.
        change_id: String,
        /// What happened.
        reason: String,
    },
    /// Nothing could be read, so nothing was written.
    #[error("not accepted: the platform does not answer ({reason}); try again later")]
    NotAccepted {
        /// What happened.
        reason: String,
    },
}

/// A change that is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Revision that it made.
    pub revision: u64,
    /// Whether it had been accepted before, under the same id.
    pub repeated: bool,
}
