use {
    super::GreetingEcho,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Identifies a digest, so that a copy of it need not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DigestKey {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Incarnation of the agent that sent the digest first.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub number: u64,
}

/// Digest that the agent of another engine is to pass on to the fronts of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedDigest {
    /// Identifies the digest.
    pub key: DigestKey,
    /// Whether it must be passed on at once.
    pub is_urgent: bool,
    /// The encoded digest.
    pub digest: Vec<u8>,
    /// Latest greetings of fronts, if the digest contains what depends on its age or on the front.
    pub echoes: Vec<(SocketAddr, GreetingEcho)>,
}

/// Digest among others in one datagram to a front.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundledDigest {
    /// Identifies the digest.
    pub key: DigestKey,
    /// The encoded digest.
    pub digest: Vec<u8>,
    /// Latest greeting received from the front by the first sender.
    pub echo: Option<GreetingEcho>,
}
