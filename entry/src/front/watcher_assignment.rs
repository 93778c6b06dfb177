use {
    super::{is_engine, FrontContext},
    pitchhitch_core::serving::{mix_hashes, stable_hash},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Processes beside engines that read one store of kept parts for all fronts: each may end.
const WATCHERS: usize = 2;
/// Fronts up to which each reads all itself: that asks as often.
pub(super) const MAX_DIRECT_READERS: u32 = 2 * WATCHERS as u32;

/// Which process beside an engine reads which store of kept parts, for all fronts; all fronts
/// that know the same engines find the same.
#[derive(Debug, Default)]
pub(super) struct WatcherAssignment {
    stores_by_engine: BTreeMap<SocketAddr, Vec<SocketAddr>>,
}

impl WatcherAssignment {
    /// Chooses them among the engines that are there; few fronts need none.
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
        for view in state.store_directory.views() {
            for engine in pick_watchers(view.store.address, &engines) {
                stores_by_engine
                    .entry(engine)
                    .or_default()
                    .push(view.store.address);
            }
        }
        WatcherAssignment { stores_by_engine }
    }

    /// Stores that the process beside an engine is to read.
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

/// An engine, and the number by which it is drawn.
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

/// The engines with the highest rank for a store: where one goes, only what it read is read
/// elsewhere.
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
