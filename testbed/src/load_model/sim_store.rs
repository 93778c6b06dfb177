use {
    super::StoreSpec,
    pitchhitch_core::{
        serving::{KvStore, PartId, PromptPart},
        time::Micros,
    },
    std::{collections::HashSet, net::SocketAddr},
};

/// Calls that a store holds at once; the model asks none, but a store names them.
const MAX_PENDING_CALLS: u32 = 8;

/// A store of kept parts: nothing gives way, so a part is saved only where it has room.
#[derive(Debug)]
pub struct SimStore {
    /// What it is like.
    pub spec: StoreSpec,
    /// Where it is reached; only a name here.
    pub address: SocketAddr,
    /// Until when its link is taken.
    pub link_busy_until: Micros,
    parts: HashSet<PartId>,
    tokens: u64,
}

impl SimStore {
    /// The empty store with a number among those of a load.
    pub fn new(
        spec: &StoreSpec,
        number: usize,
    ) -> Self {
        SimStore {
            spec: *spec,
            address: SocketAddr::from(([10, 1, 0, number as u8], 80)),
            link_busy_until: Micros::ZERO,
            parts: HashSet::new(),
            tokens: 0,
        }
    }

    /// What fronts know of it from their configuration.
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

    /// Keeps a part, if there is room.
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
