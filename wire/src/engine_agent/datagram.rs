use {
    super::{BundledDigest, DigestMessage, FrontGreeting, RelayedDigest},
    serde::{Deserialize, Serialize},
};

/// Datagram to a front.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrontDatagram {
    /// Digest of the sender's engine.
    Digest(Box<DigestMessage>),
    /// Digests of several engines.
    Bundle(Vec<BundledDigest>),
}

/// Datagram to the agent of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentDatagram {
    /// Greeting of a front.
    Greeting(Box<FrontGreeting>),
    /// Digest of another engine, to be passed on.
    Relay(RelayedDigest),
}
