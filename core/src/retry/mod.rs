//! Retries: decisions, budget, back-off and outlier ejection.

mod backoff_policy;
mod outlier_guard;
mod retry_budget;
mod retry_decision;

pub use {backoff_policy::*, outlier_guard::*, retry_budget::*, retry_decision::*};
