use crate::route::EndpointKey;

/// Engines of one group that load weights at the same time at most.
pub const MAX_CONCURRENT_LOADS: usize = 2;

/// One engine of a group, as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineWeights {
    /// The engine.
    pub endpoint: EndpointKey,
    /// Version that it holds.
    pub version: String,
    /// Version that it should hold.
    pub wanted: String,
    /// Version that an order under way will give it.
    pub loading: Option<String>,
    /// Requests that run on it.
    pub running: u32,
    /// Whether it can take orders now.
    pub reachable: bool,
}

/// An engine that should load a version now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoad {
    /// The engine.
    pub endpoint: EndpointKey,
    /// The version.
    pub version: String,
}

/// Chooses which engines of a group load the version they should hold next.
///
/// At most [`MAX_CONCURRENT_LOADS`] load together. Idle ones go first.
pub fn plan_weight_loads(engines: &[EngineWeights]) -> Vec<WeightLoad> {
    let loading = engines.iter().filter(|e| e.loading.is_some()).count();
    let mut outdated: Vec<&EngineWeights> = engines
        .iter()
        .filter(|e| e.loading.is_none() && e.reachable && e.version != e.wanted)
        .collect();
    outdated.sort_by_key(|e| (e.running, e.endpoint));
    let available = MAX_CONCURRENT_LOADS.saturating_sub(loading);
    let loads = outdated.into_iter().take(available);
    loads
        .map(|engine| WeightLoad {
            endpoint: engine.endpoint,
            version: engine.wanted.clone(),
        })
        .collect()
}
