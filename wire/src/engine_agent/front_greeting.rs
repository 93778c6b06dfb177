use {
    pitchhitch_core::{
        serving::{OrganisationRate, StorePosition, StoreProof, SuspectReport},
        time::Micros,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Weight version that an engine is to have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedWeights {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Whether it is this engine's turn to load it.
    pub is_turn: bool,
}

/// Latest digest that a front had received when it wrote a greeting; the greeting was therefore
/// written after that digest was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEcho {
    /// Incarnation of the sender of the digest.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Sequence number of the digest within the incarnation.
    pub number: u64,
}

/// Message of a front to the agent of an engine; it also subscribes the front to digests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontGreeting {
    /// Id of the front's box.
    pub front: String,
    /// Increasing sequence number; greetings to several agents may share it.
    pub number: u64,
    /// Time within which the next greeting follows.
    pub again_within: Micros,
    /// Id of the engine on the platform's endpoint list.
    pub engine_id: Option<String>,
    /// Start of the listed incarnation, in milliseconds since 1970, if reported.
    pub engine_born: Option<u64>,
    /// Store position of the engine's latest row; the default if the front has not read that row
    /// itself.
    pub engine_row: StorePosition,
    /// Whether the engine is leaving: it loads no more weights and is not announced to fronts.
    pub is_leaving: bool,
    /// Weight versions that the engine is to have.
    pub wanted: Vec<WantedWeights>,
    /// Failure domain of the front.
    pub domain: String,
    /// Content hash and age of the state snapshot that the front can serve.
    pub state: Option<(u64, Micros)>,
    /// Latest digest that the front has received for this engine.
    pub echo: Option<DigestEcho>,
    /// Suspect requests to forward to all fronts: endpoints crashed while running them.
    pub suspects: Vec<SuspectReport>,
    /// Whether the front requests all known suspect requests.
    pub wants_suspects: bool,
    /// Whether the front requests the list of all cached parts.
    pub wants_all: bool,
    /// Results of the front's reads of the platform store, to forward to all fronts.
    pub proofs: Vec<StoreProof>,
    /// Requests per second that all fronts together may send to the engine in slow start; 0 if it
    /// has no slow start.
    pub start_limit: u32,
    /// KV stores to poll on behalf of all fronts.
    pub watches: Vec<SocketAddr>,
    /// KV stores, among those polled, whose whole content the front asks for.
    pub wanted_contents: Vec<SocketAddr>,
    /// Agents in the front's failure domain that pass the engine's digests on to all fronts there;
    /// empty if the engine is in the same domain.
    pub relays: Vec<SocketAddr>,
    /// Memory that the front has admitted and refused by organisation; empty while memory is not
    /// short.
    pub rates: Vec<OrganisationRate>,
}
