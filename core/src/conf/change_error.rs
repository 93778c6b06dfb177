use thiserror::Error;

/// Why a configuration change is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change refers to an object that is not in the configuration.
    #[error(
        "{what} '{name}' is not in the configuration; list what is there with 'pitchhitch show'"
    )]
    Unknown {
        /// Kind of the object.
        what: &'static str,
        /// Name of the object.
        name: String,
    },
    /// A label key or value is empty or contains a disallowed character.
    #[error(
        "'{text}' is not a valid label key or value; use letters, digits, '.', '_', '/' and '-'"
    )]
    InvalidLabel {
        /// The rejected text.
        text: String,
    },
    /// The target does not have the form `kind/name`.
    #[error(
        "'{text}' is not a valid target; use endpoint/NAME, organisation/NAME or version/MODEL/NAME"
    )]
    InvalidTarget {
        /// The rejected text.
        text: String,
    },
    /// The change is based on a revision that is no longer the current one.
    #[error("revision {wanted} was expected, but the configuration is at {found}; run 'pitchhitch show' and repeat the change")]
    Outdated {
        /// Revision that the change is based on.
        wanted: u64,
        /// Current revision.
        found: u64,
    },
    /// A record in the change log does not follow the one before it.
    #[error(
        "the change log jumps from revision {from} to {to}; the stored configuration is damaged"
    )]
    RevisionGap {
        /// Last consistent revision.
        from: u64,
        /// Revision of the record that does not follow.
        to: u64,
    },
}
