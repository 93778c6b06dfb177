use thiserror::Error;

/// Why a selector could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SelectorError {
    /// A key or value is empty or has a character that labels may not have.
    #[error("'{word}' is no label word; use letters, digits, '.', '_', '/' and '-'")]
    BadWord {
        /// The text in question.
        word: String,
    },
    /// A term has none of the known forms.
    #[error("'{term}' is no selector term; write key=value, key!=value, key in (a|b), key notin (a|b), key or !key")]
    BadTerm {
        /// The text in question.
        term: String,
    },
}
