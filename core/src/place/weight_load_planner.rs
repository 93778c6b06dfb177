use crate::route::EndpointKey;

/// Maximum number of engines in a group that load weights concurrently.
pub const MAX_CONCURRENT_LOADS: usize = 2;

/// Weight versions of one engine, as input for the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineWeights {
    /// The engine.
    pub endpoint: EndpointKey,
    /// Version that it serves.
    pub version: String,
    /// Version that it should serve.
    pub wanted: String,
    /// Version that a pending order loads.
    pub loading: Option<String>,
    /// Number of requests running on it.
    pub running: u32,
    /// Whether it can receive orders now.
    pub reachable: bool,
}

/// A weight version to be loaded by an engine now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoad {
    /// The engine.
    pub endpoint: EndpointKey,
    /// The version.
    pub version: String,
}

/// Selects the engines of a group that load their wanted version next.
///
/// At most [`MAX_CONCURRENT_LOADS`] engines load concurrently; those with the fewest running
/// requests are selected first.
pub fn plan_weight_loads(engines: &[EngineWeights]) -> Vec<WeightLoad> {
    let loading = engines.iter().filter(|e| e.loading.is_some()).count();
    let mut outdated: Vec<&EngineWeights> = engines
        .iter()
        .filter(|e| e.loading.is_none() && e.reachable && e.version != e.wanted)
        .collect();
    outdated.sort_by_key(|e| (e.running, e.endpoint));
    let available = MAX_CONCURRENT_LOADS.saturating_sub(loading);
    let selected = outdated.into_iter().take(available);
    selected
        .map(|engine| WeightLoad {
            endpoint: engine.endpoint,
            version: engine.wanted.clone(),
        })
        .collect()
}
