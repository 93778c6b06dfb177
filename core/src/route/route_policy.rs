use serde::{Deserialize, Serialize};

/// Routing policy; all but the first are baselines for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutePolicy {
    /// Lowest estimated cost.
    #[default]
    Estimate,
    /// Endpoints in rotation (round robin).
    RoundRobin,
    /// Fewest running requests.
    LeastLoad,
    /// Longest prefix in accelerator memory, then fewest running requests.
    PrefixAffinity,
    /// Lowest estimated cost, importing whatever a store box holds.
    AlwaysImport,
    /// Lowest estimated cost, never importing.
    AlwaysRecompute,
}
