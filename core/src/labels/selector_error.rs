use thiserror::Error;

/// Why a selector could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SelectorError {
    /// A key or value is empty or has a character that labels may not have.
    #[error("'{text}' is no label word; use letters, digits, '.', '_', '/' and '-'")]
    InvalidLabel {
        /// The text in question.
        text: String,
    },
    /// A term has none of the known forms.
    #[error("'{term}' is no selector term; write key=value, key!=value, key in (a|b), key notin (a|b), key or !key")]
    InvalidTerm {
        /// The text in question.
        term: String,
    },
}
