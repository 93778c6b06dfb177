use {
    super::{EngineSpec, KindSpec},
    anyhow::{ensure, Context},
    serde::Deserialize,
    std::{fs, path::Path},
};

/// One-way network latencies between callers, fronts and engines.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HopSpec {
    /// Between a caller and a front, in milliseconds.
    pub caller_ms: f64,
    /// Within a failure domain, in milliseconds.
    pub in_domain_ms: f64,
    /// Between two failure domains, in milliseconds.
    pub cross_domain_ms: f64,
}

/// A period with a higher request rate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// Start, in seconds.
    pub from_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Factor on the request rate.
    pub times: f64,
    /// Kind that it applies to; all kinds if there is none.
    pub kind: Option<String>,
}

/// A period in which the first engines are down; they start again with empty memory.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutageSpec {
    /// Start, in seconds.
    pub from_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Number of engines.
    pub engines: usize,
}

/// A store of cached parts outside of the engines.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSpec {
    /// Capacity, in tokens.
    pub capacity_tokens: u64,
    /// Bandwidth of its link, in megabits per second.
    pub link_mbps: f64,
    /// Latency before a transfer starts, in milliseconds.
    pub first_ms: f64,
    /// Age of its updates when fronts receive them, in milliseconds.
    pub news_lag_ms: f64,
    /// Index of its failure domain.
    pub domain: usize,
}

/// A load: the requests, and the fronts, engines and stores that serve them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Time during which requests arrive, in seconds.
    pub length_s: f64,
    /// Number of fronts; each knows only its own requests and the engines' reports.
    pub fronts: usize,
    /// Number of failure domains; fronts and engines are assigned to them in rotation.
    pub domains: usize,
    /// Mean number of requests in a burst.
    #[serde(default = "default_clump")]
    pub clump: f64,
    /// Relative amplitude of the periodic change of the request rate.
    #[serde(default)]
    pub swing: f64,
    /// Period of that change, in seconds.
    #[serde(default = "default_swing_s")]
    pub swing_s: f64,
    /// A shared part that is prefilled within this time of its last use counts as prefilled again,
    /// in seconds.
    #[serde(default = "default_again_s")]
    pub again_s: f64,
    /// Network latencies.
    pub hops: HopSpec,
    /// Engines.
    pub engines: EngineSpec,
    /// Stores of cached parts.
    #[serde(default)]
    pub stores: Vec<StoreSpec>,
    /// Kinds of requests.
    pub kinds: Vec<KindSpec>,
    /// Periods with a higher request rate.
    #[serde(default)]
    pub waves: Vec<WaveSpec>,
    /// Periods in which engines are down.
    #[serde(default)]
    pub outages: Vec<OutageSpec>,
}

fn default_clump() -> f64 {
    1.0
}

fn default_again_s() -> f64 {
    20.0
}

fn default_swing_s() -> f64 {
    11.0
}

impl LoadFile {
    /// Parses a load from TOML.
    ///
    /// # Errors
    /// Fails if the text is not a valid load or lacks engines, fronts, domains or kinds.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let load: LoadFile = toml::from_str(text)?;
        ensure!(load.fronts > 0, "fronts: name at least one");
        ensure!(load.domains > 0, "domains: name at least one");
        ensure!(load.engines.count > 0, "engines.count: name at least one");
        ensure!(!load.kinds.is_empty(), "kinds: name at least one");
        for wave in &load.waves {
            let kind_name = wave.kind.as_ref();
            let is_known = kind_name.is_none_or(|name| load.kinds.iter().any(|k| k.name == *name));
            ensure!(is_known, "waves: no kind is called {kind_name:?}");
        }
        Ok(load)
    }

    /// Reads a load from a file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is not a valid load.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let file = path.display();
        let text = fs::read_to_string(path).with_context(|| format!("{file}: cannot be read"))?;
        LoadFile::parse(&text).with_context(|| format!("{file}: is no load"))
    }
}
