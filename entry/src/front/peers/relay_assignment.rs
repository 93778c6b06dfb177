use {
    crate::front::{is_engine, FrontContext},
    pitchhitch_core::{
        dissemination::{uses_relays, RendezvousSet, RELAYS_PER_DOMAIN},
        serving::stable_hash,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Assigns to each engine of another failure domain the agents in this one that pass its digests on.
/// Fronts that know the same engines compute the same assignment; if they differ, the agent of the
/// engine goes by the front that greeted it last.
#[derive(Debug, Default)]
pub(crate) struct RelayAssignment {
    relays_by_engine: BTreeMap<SocketAddr, Vec<SocketAddr>>,
}

impl RelayAssignment {
    /// Assigns relays among the agents of this domain that report now. Empty if there are few
    /// fronts.
    pub fn assign(front: &FrontContext) -> Self {
        let now = front.now();
        let state = front.state();
        let Some(config) = state
            .config
            .as_ref()
            .filter(|_| uses_relays(state.fronts as usize))
        else {
            return RelayAssignment::default();
        };
        let domain = &front.settings.failure_domain;
        let engines = state.registry.present(|entry| is_engine(config, entry));
        let mut candidates = BTreeSet::new();
        let mut remote = Vec::new();
        for (address, key) in engines {
            let Some(entry) = state.registry.get(key) else {
                continue;
            };
            if entry.domain != *domain {
                remote.push(address);
            } else if entry.fresh_load(now).is_some() && !entry.may_be_unreachable(now) {
                candidates.insert(SocketAddr::new(address.ip(), front.settings.agent_port));
            }
        }
        let candidates = RendezvousSet::new(candidates);
        let relays = remote.into_iter().map(|engine| {
            let hash = stable_hash(engine.to_string());
            (engine, candidates.pick::<RELAYS_PER_DOMAIN>(hash))
        });
        RelayAssignment {
            relays_by_engine: relays.collect(),
        }
    }

    /// Agents that pass on the digests of an engine.
    pub fn relays_for(
        &self,
        engine: SocketAddr,
    ) -> Vec<SocketAddr> {
        self.relays_by_engine
            .get(&engine)
            .cloned()
            .unwrap_or_default()
    }
}
