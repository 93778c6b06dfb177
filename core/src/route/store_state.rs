use {slotmap::new_key_type, std::net::SocketAddr};

new_key_type! {
    /// Key of one life of a store box.
    pub struct StoreKey;
}

/// What is known of a store box.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreState {
    /// Name of the box.
    pub id: String,
    /// Group of endpoints that it serves.
    pub group: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Bytes a second that imports get over its link.
    pub link_rate: f64,
    /// Bytes that this process knows to be waiting for the link.
    pub link_queue: u64,
    /// Bytes a second that its disk tier gives.
    pub disk_rate: f64,
}
