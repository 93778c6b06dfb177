//! Labels and label selectors.

mod label_selector;
mod label_set;
mod selector_error;
mod selector_term;

pub use {label_selector::*, label_set::*, selector_error::*, selector_term::*};
