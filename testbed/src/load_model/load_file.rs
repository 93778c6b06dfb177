use {
    super::{EngineSpec, KindSpec},
    anyhow::{ensure, Context},
    serde::Deserialize,
    std::{fs, path::Path},
};

/// Ways between callers, fronts and engines, in milliseconds one way.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HopSpec {
    /// From a caller to a front.
    pub caller_ms: f64,
    /// Within a failure domain.
    pub in_domain_ms: f64,
    /// Between two failure domains.
    pub cross_domain_ms: f64,
}

/// A time in which more requests come.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// Beginning, in seconds.
    pub from_s: f64,
    /// Length, in seconds.
    pub for_s: f64,
    /// Factor on what comes.
    pub times: f64,
    /// The kind that it is of; all where none is named.
    pub kind: Option<String>,
}

/// A time in which the first engines are down; they come back empty.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutageSpec {
    /// Beginning, in seconds.
    pub from_s: f64,
    /// Length, in seconds.
    pub for_s: f64,
    /// How many engines.
    pub engines: usize,
}

/// A place outside of the engines that keeps parts.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSpec {
    /// Room, in tokens.
    pub capacity_tokens: u64,
    /// Speed of its link, in megabits a second.
    pub link_mbps: f64,
    /// Time until a move begins, in milliseconds.
    pub first_ms: f64,
    /// Age of its news when fronts hear them, in milliseconds.
    pub news_lag_ms: f64,
    /// Failure domain, by number.
    pub domain: usize,
}

/// A load: who asks for what, and what there is to serve it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Time in which requests come, in seconds.
    pub length_s: f64,
    /// Fronts; each knows only its own requests and what engines report.
    pub fronts: usize,
    /// Failure domains; fronts and engines lie in them in turn.
    pub domains: usize,
    /// Mean number of requests that come together.
    #[serde(default = "default_clump")]
    pub clump: f64,
    /// Part by which the rate swings up and down.
    #[serde(default)]
    pub swing: f64,
    /// Length of a swing, in seconds.
    #[serde(default = "default_swing_s")]
    pub swing_s: f64,
    /// A shared part that is read within this time of its last use counts as read
    /// again, in seconds.
    #[serde(default = "default_again_s")]
    pub again_s: f64,
    /// Ways.
    pub hops: HopSpec,
    /// Engines.
    pub engines: EngineSpec,
    /// Stores of kept parts.
    #[serde(default)]
    pub stores: Vec<StoreSpec>,
    /// Requests.
    pub kinds: Vec<KindSpec>,
    /// Times in which more come.
    #[serde(default)]
    pub waves: Vec<WaveSpec>,
    /// Times in which engines are down.
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
    /// Reads a load from TOML.
    ///
    /// # Errors
    /// Fails where the text is no load, or one that cannot be played.
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
    /// Fails where the file cannot be read or is no load.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let place = path.display();
        let text = fs::read_to_string(path).with_context(|| format!("{place}: cannot be read"))?;
        LoadFile::parse(&text).with_context(|| format!("{place}: is no load"))
    }
}
