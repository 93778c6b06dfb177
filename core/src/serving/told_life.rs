use {
    super::MemoryMap,
    crate::time::Micros,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A life of a store, as one box tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLife {
    /// Where engines reach the store.
    pub address: SocketAddr,
    /// Which of its lives it is.
    pub epoch: u64,
    /// For how long at least it has lasted.
    pub lasted: Micros,
}

impl MemoryMap {
    /// Lives of all stores that have answered.
    pub fn lives(
        &self,
        now: Micros,
    ) -> Vec<ToldLife> {
        let lives = self.views().iter().filter_map(|view| view.uptime(now));
        lives.collect()
    }

    /// Takes what another box told of a store's life; it had come here at `at`.
    pub fn tell_life(
        &mut self,
        told: &ToldLife,
        at: Micros,
    ) {
        if let Some(view) = self.view_mut(told.address) {
            view.record_uptime(told, at);
        }
    }
}
