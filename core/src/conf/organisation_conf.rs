use {
    crate::labels::LabelSet,
    serde::{Deserialize, Serialize},
};

/// One organisation: its labels, keys, cost weights and limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationConf {
    /// Labels matched by selectors.
    #[serde(default)]
    pub labels: LabelSet,
    /// BLAKE3 hashes of the bearer keys, each as 64 hexadecimal digits.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Weights of the costs in routing and retention decisions.
    #[serde(default)]
    pub weights: CostWeights,
    /// Rate and concurrency limits.
    #[serde(default)]
    pub limits: OrganisationLimits,
}

/// Weights of the three costs in a decision.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CostWeights {
    /// Cost of one microsecond until the first token.
    pub first_token: f64,
    /// Cost of computing one prompt token.
    pub recompute: f64,
    /// Cost of transferring one kibibyte over the link of a store box.
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

/// Limits of one organisation across the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLimits {
    /// Sustained rate, in requests per second.
    pub requests_per_second: f64,
    /// Burst size, in requests.
    pub burst: f64,
    /// Maximum number of concurrent requests.
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
