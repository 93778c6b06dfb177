use {
    super::{is_engine, FrontContext},
    pitchhitch_core::serving::{mix_hashes, stable_hash},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Processes beside engines that read one store of kept parts for all fronts: each may end.
const WATCHERS: usize = 2;
/// Fronts up to which each reads all itself: that asks as often.
pub(super) const FEW_FRONTS: u32 = 2 * WATCHERS as u32;

/// Which process beside an engine reads which store of kept parts, for all fronts; all fronts
/// that know the same engines find the same.
#[derive(Debug, Default)]
pub(super) struct StoreWatchers {
    stores: BTreeMap<SocketAddr, Vec<SocketAddr>>,
}

impl StoreWatchers {
    /// Chooses them among the engines that are there; few fronts need none.
    pub fn assign(front: &FrontContext) -> Self {
        let state = front.state();
        let Some(config) = state.config.as_ref().filter(|_| state.fronts > FEW_FRONTS) else {
            return StoreWatchers::default();
        };
        let engines = state.book.present(|entry| is_engine(config, entry));
        let engines: Vec<RankedEngine> = engines.into_keys().map(RankedEngine::new).collect();
        let mut stores: BTreeMap<SocketAddr, Vec<SocketAddr>> = BTreeMap::new();
        for view in state.memory.views() {
            for engine in watchers(view.store.address, &engines) {
                stores.entry(engine).or_default().push(view.store.address);
            }
        }
        StoreWatchers { stores }
    }

    /// Stores that the process beside an engine is to read.
    pub fn of(
        &self,
        engine: SocketAddr,
    ) -> Vec<SocketAddr> {
        self.stores.get(&engine).cloned().unwrap_or_default()
    }
}

/// An engine, and the number by which it is drawn.
struct RankedEngine {
    address: SocketAddr,
    number: u64,
}

impl RankedEngine {
    fn new(address: SocketAddr) -> Self {
        let number = stable_hash(address.to_string());
        RankedEngine { address, number }
    }
}

/// The engines with the highest rank for a store: where one goes, only what it read is read
/// elsewhere.
fn watchers(
    store: SocketAddr,
    engines: &[RankedEngine],
) -> Vec<SocketAddr> {
    let store = stable_hash(store.to_string());
    let rank = |engine: &RankedEngine| mix_hashes(store, engine.number);
    let mut ranked: Vec<(u64, SocketAddr)> = engines.iter().map(|e| (rank(e), e.address)).collect();
    ranked.sort_unstable();
    let highest = ranked.into_iter().rev().take(WATCHERS);
    highest.map(|(_, engine)| engine).collect()
}
