//! Whether and when something is tried again.

mod backoff_policy;
mod outlier_guard;
mod retry_budget;
mod retry_decision;

pub use {backoff_policy::*, outlier_guard::*, retry_budget::*, retry_decision::*};
