use std::net::SocketAddr;

/// A place outside of the engines that keeps parts of prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct KvStore {
    /// Name.
    pub name: String,
    /// Where engines reach it.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Room, in tokens.
    pub capacity_tokens: u64,
    /// Speed of its link, in megabits a second.
    pub link_mbps: f64,
    /// Time until a move begins, in milliseconds.
    pub first_ms: f64,
    /// Whether parts must be freed by us.
    pub is_managed: bool,
}
