use thiserror::Error;

/// Why a change of the configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change names something that is not in the configuration.
    #[error(
        "{what} '{name}' is not in the configuration; list what is there with 'pitchhitch show'"
    )]
    Unknown {
        /// The kind of thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A label key or value has a character that labels may not have.
    #[error("'{text}' is no label word; use letters, digits, '.', '_', '/' and '-'")]
    InvalidLabel {
        /// The text in question.
        text: String,
    },
    /// The target is not of the form kind/name.
    #[error(
        "'{text}' names no target; write endpoint/NAME, organisation/NAME or version/MODEL/NAME"
    )]
    InvalidTarget {
        /// The text in question.
        text: String,
    },
    /// The change was made against a revision that is no longer the newest.
    #[error("revision {wanted} was expected, but the configuration is at {found}; look again with 'pitchhitch show' and repeat")]
    Outdated {
        /// The revision the operator saw.
        wanted: u64,
        /// The revision in force.
        found: u64,
    },
    /// Two records claim the same place in the history.
    #[error(
        "the change log jumps from revision {from} to {to}; the stored configuration is damaged"
    )]
    RevisionGap {
        /// Last good revision.
        from: u64,
        /// The revision that does not follow.
        to: u64,
    },
}
