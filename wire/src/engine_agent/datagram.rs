use {
    super::{BundledDigest, DigestMessage, FrontGreeting, RelayedDigest},
    pitchhitch_core::serving::{ClaimAnswer, ClaimCall, SoftwareTag, StreamId, StreamOrigin},
    serde::{Deserialize, Serialize},
};

/// What an agent knows of the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The stream.
    pub stream: StreamId,
    /// Software that began it; `None` if the agent does not know.
    pub software: Option<SoftwareTag>,
}

/// Datagram to a front.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrontDatagram {
    /// Digest of the sender's engine.
    Digest(Box<DigestMessage>),
    /// Digests of several engines.
    Bundle(Vec<BundledDigest>),
    /// Answer to [`AgentDatagram::OriginQuery`].
    Origin(OriginAnswer),
    /// Answer to [`ClaimCall::Claim`].
    Claims(ClaimAnswer),
}

/// Datagram to the agent of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentDatagram {
    /// Greeting of a front.
    Greeting(Box<FrontGreeting>),
    /// Digest of another engine, to be passed on.
    Relay(RelayedDigest),
    /// Origins of streams that began at a front.
    Origins(Vec<StreamOrigin>),
    /// Asks for the origin of a stream.
    OriginQuery(StreamId),
    /// What a front tells about the parts that it has its requests save.
    Claims(ClaimCall),
}
