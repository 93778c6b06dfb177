use {
    crate::serving::KvStoreDirectory,
    crate::time::Micros,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Uptime of a store's current incarnation, as one box reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvStoreUptime {
    /// Address from which engines fetch.
    pub address: SocketAddr,
    /// Epoch, which identifies the store's incarnation.
    pub epoch: u64,
    /// Minimum time for which it has been up.
    pub lasted: Micros,
}

impl KvStoreDirectory {
    /// Uptimes of all stores that have answered.
    pub fn store_uptimes(
        &self,
        now: Micros,
    ) -> Vec<KvStoreUptime> {
        let uptimes = self.views().iter().filter_map(|view| view.uptime(now));
        uptimes.collect()
    }

    /// Records a store's uptime that another box reported; the report arrived at `at`.
    pub fn record_uptime(
        &mut self,
        uptime: &KvStoreUptime,
        at: Micros,
    ) {
        if let Some(view) = self.view_mut(uptime.address) {
            view.record_uptime(uptime, at);
        }
    }
}
