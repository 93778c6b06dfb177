use {
    pitchhitch_core::{
        serving::{StorePosition, StoreProof, SuspectReport},
        time::Micros,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Weights that an engine should have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedWeights {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Whether it is this engine's turn to load them.
    pub is_turn: bool,
}

/// The last digest that a front had heard when it wrote a greeting: it cannot have been
/// written before that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEcho {
    /// Life of the sender of the digest.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the digest in that life.
    pub number: u64,
}

/// What a front tells the process beside an engine; it also asks for digests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontGreeting {
    /// Box of the front.
    pub front: String,
    /// Number of this greeting; it rises, and several processes may get the same.
    pub number: u64,
    /// Time in which the next one comes.
    pub again_within: Micros,
    /// Id of the engine, as the platform lists it.
    pub engine_id: Option<String>,
    /// Start of its life that is listed, in milliseconds since 1970, where that is told.
    pub engine_born: Option<u64>,
    /// Position of its last row in the list; none where a peer told of it.
    pub engine_row: StorePosition,
    /// Whether the engine leaves: it loads nothing any more, and nobody is told of it.
    pub is_leaving: bool,
    /// Weights that the engine should have.
    pub wanted: Vec<WantedWeights>,
    /// Failure domain of the front.
    pub domain: String,
    /// Mark and age of the state that it can hand on.
    pub state: Option<(u64, Micros)>,
    /// Last digest that the front has heard of this engine.
    pub echo: Option<DigestEcho>,
    /// Requests under which endpoints ended, to be told to all fronts.
    pub suspects: Vec<SuspectReport>,
    /// Whether the front wants to be told of all such requests.
    pub wants_suspects: bool,
    /// Whether the front wants to be told all that the engine keeps.
    pub wants_all: bool,
    /// What the front has read at the platform's store, to be told to all fronts.
    pub proofs: Vec<StoreProof>,
    /// Requests a second that the engine may get from all fronts while it starts slowly; 0 where
    /// it never does.
    pub start_limit: u32,
    /// Stores of kept parts to be read for all fronts.
    pub watches: Vec<SocketAddr>,
}
