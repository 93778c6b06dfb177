use serde::{Deserialize, Serialize};

/// How an endpoint is chosen; all but the first are baselines to compare with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutePolicy {
    /// Lowest estimated cost.
    #[default]
    Estimate,
    /// One after the other.
    RoundRobin,
    /// Fewest requests running.
    LeastLoad,
    /// Longest prefix in accelerator memory, then fewest requests running.
    PrefixAffinity,
    /// Lowest estimated cost, importing whatever a store box holds.
    AlwaysImport,
    /// Lowest estimated cost, never importing.
    AlwaysRecompute,
}
