use {
    crate::labels::LabelSet,
    serde::{Deserialize, Serialize},
};

/// One organisation: its keys, labels, limits and what it weighs most.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationConf {
    /// Labels, for selectors.
    #[serde(default)]
    pub labels: LabelSet,
    /// Hashes of the bearer keys, as 64 hexadecimal digits of BLAKE3.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// What a decision costs this organisation.
    #[serde(default)]
    pub weights: CostWeights,
    /// How much it may ask for.
    #[serde(default)]
    pub limits: OrganisationLimits,
}

/// Weights of the three costs of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CostWeights {
    /// Cost of one microsecond until the first token.
    pub first_token: f64,
    /// Cost of one prompt token that is computed again.
    pub recompute: f64,
    /// Cost of one kibibyte over a link to a store box.
    pub link: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        CostWeights {
            first_token: 1.0,
            recompute: 10.0,
            link: 1.0,
        }
    }
}

/// Limits of one organisation over the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLimits {
    /// Requests a second, long-run.
    pub requests_per_second: f64,
    /// Requests that may come at once above the rate.
    pub burst: f64,
    /// Requests running at the same time.
    pub concurrency: u32,
}

impl Default for OrganisationLimits {
    fn default() -> Self {
        OrganisationLimits {
            requests_per_second: 1_000.0,
            burst: 2_000.0,
            concurrency: 2_000,
        }
    }
}
