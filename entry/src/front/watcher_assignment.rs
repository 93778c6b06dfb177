use {
    super::{is_engine, FrontContext},
    pitchhitch_core::serving::{mix_hashes, stable_hash},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Number of engine agents that poll each KV store for all fronts, so that one may fail.
const WATCHERS: usize = 2;
/// Number of fronts up to which each polls all KV stores itself, which costs as many requests.
pub(super) const MAX_DIRECT_READERS: u32 = 2 * WATCHERS as u32;

/// Assigns KV stores to the engine agents that poll them for all fronts. All fronts that know the
/// same engines compute the same assignment.
#[derive(Debug, Default)]
pub(super) struct WatcherAssignment {
    stores_by_engine: BTreeMap<SocketAddr, Vec<SocketAddr>>,
}

impl WatcherAssignment {
    /// Assigns the stores to the present engines. Empty if there are few fronts.
    pub fn assign(front: &FrontContext) -> Self {
        let state = front.state();
        let Some(config) = state
            .config
            .as_ref()
            .filter(|_| state.fronts > MAX_DIRECT_READERS)
        else {
            return WatcherAssignment::default();
        };
        let engines = state.registry.present(|entry| is_engine(config, entry));
        let engines: Vec<EngineCandidate> = engines.into_keys().map(EngineCandidate::new).collect();
        let mut stores_by_engine: BTreeMap<SocketAddr, Vec<SocketAddr>> = BTreeMap::new();
        for view in state.kv_store_directory.views() {
            for engine in pick_watchers(view.store.address, &engines) {
                stores_by_engine
                    .entry(engine)
                    .or_default()
                    .push(view.store.address);
            }
        }
        WatcherAssignment { stores_by_engine }
    }

    /// Stores that the agent of an engine is to poll.
    pub fn stores_for(
        &self,
        engine: SocketAddr,
    ) -> Vec<SocketAddr> {
        self.stores_by_engine
            .get(&engine)
            .cloned()
            .unwrap_or_default()
    }
}

/// An engine and its hash for rendezvous hashing.
struct EngineCandidate {
    address: SocketAddr,
    hash: u64,
}

impl EngineCandidate {
    fn new(address: SocketAddr) -> Self {
        let hash = stable_hash(address.to_string());
        EngineCandidate { address, hash }
    }
}

/// The engines with the highest rank for a store. If an engine disappears, only its stores are
/// reassigned.
fn pick_watchers(
    store: SocketAddr,
    engines: &[EngineCandidate],
) -> Vec<SocketAddr> {
    let store_hash = stable_hash(store.to_string());
    let rank = |engine: &EngineCandidate| mix_hashes(store_hash, engine.hash);
    let mut ranked: Vec<(u64, SocketAddr)> = engines.iter().map(|e| (rank(e), e.address)).collect();
    ranked.sort_unstable();
    let highest = ranked.into_iter().rev().take(WATCHERS);
    highest.map(|(_, engine)| engine).collect()
}
