use {
    super::StoreSpec,
    pitchhitch_core::{
        serving::{KvStore, PartId, PromptPart},
        time::Micros,
    },
    std::{collections::HashSet, net::SocketAddr},
};

/// Concurrent long polls that a store accepts. The simulation sends none, but the configuration
/// of a store needs a value.
const MAX_PENDING_CALLS: u32 = 8;

/// A store of cached parts. It evicts nothing: a part is saved only if there is capacity for
/// it.
#[derive(Debug)]
pub struct SimStore {
    /// Properties from the load file.
    pub spec: StoreSpec,
    /// Its address; used only as an identifier.
    pub address: SocketAddr,
    /// Time until which its link is in use.
    pub link_busy_until: Micros,
    parts: HashSet<PartId>,
    tokens: u64,
}

impl SimStore {
    /// Creates the empty store with an index in a load.
    pub fn new(
        spec: &StoreSpec,
        index: usize,
    ) -> Self {
        SimStore {
            spec: *spec,
            address: SocketAddr::from(([10, 1, 0, index as u8], 80)),
            link_busy_until: Micros::ZERO,
            parts: HashSet::new(),
            tokens: 0,
        }
    }

    /// Its entry in the configuration of fronts.
    pub fn notice(&self) -> KvStore {
        KvStore {
            name: format!("store-{}", self.address),
            address: self.address,
            domain: format!("domain-{}", self.spec.domain),
            capacity_tokens: self.spec.capacity_tokens,
            link_mbps: self.spec.link_mbps,
            first_ms: self.spec.first_ms,
            is_managed: true,
            max_pending_calls: MAX_PENDING_CALLS,
        }
    }

    /// Whether it has a part.
    pub fn contains(
        &self,
        id: PartId,
    ) -> bool {
        self.parts.contains(&id)
    }

    /// Saves a part; returns false if there is no capacity or it is already there.
    pub fn save(
        &mut self,
        part: PromptPart,
    ) -> bool {
        let tokens = u64::from(part.tokens);
        if self.contains(part.id) || self.tokens + tokens > self.spec.capacity_tokens {
            return false;
        }
        self.parts.insert(part.id);
        self.tokens += tokens;
        true
    }
}
