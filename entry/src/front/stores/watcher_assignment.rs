use {
    crate::front::{is_engine, FrontContext, FrontState},
    pitchhitch_core::{
        dissemination::RendezvousSet,
        serving::{mix_bits, stable_hash},
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Number of engine agents that poll each KV store for all fronts, so that one may fail.
const WATCHERS: usize = 2;
/// Number of fronts up to which each polls all KV stores itself, which costs as many requests.
pub(crate) const MAX_DIRECT_READERS: u32 = 2 * WATCHERS as u32;

/// Assigns KV stores to the engine agents that poll them for all fronts. All fronts that know the
/// same engines compute the same assignment.
#[derive(Debug, Default)]
pub(crate) struct WatcherAssignment {
    stores_by_engine: BTreeMap<SocketAddr, Vec<SocketAddr>>,
    /// Engines whose agents poll a store.
    watchers: BTreeMap<SocketAddr, Vec<SocketAddr>>,
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
        let engines = RendezvousSet::new(engines.into_keys());
        let mut stores_by_engine: BTreeMap<SocketAddr, Vec<SocketAddr>> = BTreeMap::new();
        let mut watchers = BTreeMap::new();
        for view in state.kv_store_directory.views() {
            let store_hash = stable_hash(view.store.address.to_string());
            let picked = engines.pick::<WATCHERS>(store_hash);
            watchers.insert(view.store.address, picked.clone());
            for engine in picked {
                stores_by_engine
                    .entry(engine)
                    .or_default()
                    .push(view.store.address);
            }
        }
        WatcherAssignment {
            stores_by_engine,
            watchers,
        }
    }

    /// Stores whose whole content this front asks the agent of an engine for. Their watchers are
    /// asked by turns.
    pub fn contents_for(
        &self,
        engine: SocketAddr,
        state: &mut FrontState,
        round: u64,
    ) -> Vec<SocketAddr> {
        let mut wanted = Vec::new();
        for store in self.stores_for(engine) {
            let view = state.kv_store_directory.view_mut(store);
            let is_wanted = view.is_some_and(|view| view.next_change.is_none());
            let watchers = self.watchers.get(&store);
            let is_turn = watchers.is_some_and(|watchers| {
                let turn = mix_bits(round) as usize % watchers.len().max(1);
                watchers.get(turn) == Some(&engine)
            });
            if is_wanted && is_turn {
                wanted.push(store);
            }
        }
        wanted
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
