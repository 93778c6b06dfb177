use {slotmap::new_key_type, std::net::SocketAddr};

new_key_type! {
    /// Key of one incarnation of a store box.
    pub struct StoreKey;
}

/// State of a store box.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreState {
    /// Id of the box.
    pub id: String,
    /// Group of endpoints that use it.
    pub group: String,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Import throughput of its link, in bytes per second.
    pub link_rate: f64,
    /// Bytes known to this process to be queued for the link.
    pub link_queue: u64,
    /// Read throughput of its disk tier, in bytes per second.
    pub disk_rate: f64,
}
