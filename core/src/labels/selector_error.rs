use thiserror::Error;

/// Why a selector cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SelectorError {
    /// A label key or value is empty or contains a disallowed character.
    #[error(
        "'{text}' is not a valid label key or value; use letters, digits, '.', '_', '/' and '-'"
    )]
    InvalidLabel {
        /// The rejected text.
        text: String,
    },
    /// A term has an unknown form.
    #[error("'{term}' is not a valid selector term; use key=value, key!=value, key in (a|b), key notin (a|b), key or !key")]
    InvalidTerm {
        /// The rejected term.
        term: String,
    },
}
