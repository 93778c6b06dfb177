//! Labels and the selectors over them.

mod label_set;
mod selector_error;
mod selector_term;
mod work_selector;

pub use {label_set::*, selector_error::*, selector_term::*, work_selector::*};
