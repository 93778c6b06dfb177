use {
    super::StoreDirectory,
    crate::time::Micros,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A life of a store, as one box tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUptime {
    /// Where engines reach the store.
    pub address: SocketAddr,
    /// Which of its lives it is.
    pub epoch: u64,
    /// For how long at least it has lasted.
    pub lasted: Micros,
}

impl StoreDirectory {
    /// Lives of all stores that have answered.
    pub fn store_uptimes(
        &self,
        now: Micros,
    ) -> Vec<StoreUptime> {
        let uptimes = self.views().iter().filter_map(|view| view.life(now));
        uptimes.collect()
    }

    /// Takes what another box told of a store's life; it had come here at `at`.
    pub fn record_uptime(
        &mut self,
        uptime: &StoreUptime,
        at: Micros,
    ) {
        if let Some(view) = self.view_mut(uptime.address) {
            view.tell_life(uptime, at);
        }
    }
}
