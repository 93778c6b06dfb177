use {
    super::StoredPart,
    crate::time::Micros,
    serde::{Deserialize, Serialize},
};

/// Identifies the claims of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Incarnation of the front.
    pub front: u64,
    /// Number within the incarnation.
    pub number: u64,
}

/// Which of a part's keepers an agent is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperRole {
    /// Decides between fronts that claim the part at the same time.
    Primary,
    /// Remembers claims that the primary keeper granted, in case that one restarts or is replaced.
    Secondary,
    /// One of two that decide while another, which the front cannot ask, is silent.
    Majority,
}

/// A part that a front is about to have saved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedPart {
    /// The part.
    pub part: StoredPart,
    /// Incarnation of the store in which the front did not find it.
    pub epoch: u64,
    /// Role of the agent that is asked.
    pub role: KeeperRole,
}

/// What a front tells an agent about its claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimCall {
    /// Asks for claims. A save may be carried out for up to `lasts` after the call.
    Claim {
        /// Claims.
        id: ClaimId,
        /// Parts.
        parts: Vec<ClaimedPart>,
        /// Lifetime of the claims.
        lasts: Micros,
    },
    /// Reports claims that other agents have granted.
    Restore {
        /// Claims.
        id: ClaimId,
        /// Parts.
        parts: Vec<StoredPart>,
        /// Remaining lifetime of the claims.
        lasts: Micros,
    },
    /// Ends claims: the saves have been carried out, or never will be.
    Release {
        /// Claims.
        id: ClaimId,
        /// Parts, with the incarnation of the store that has the complete part, if one has.
        parts: Vec<(StoredPart, Option<u64>)>,
    },
}

/// An agent's answer to [`ClaimCall::Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// Claims that were asked for.
    pub id: ClaimId,
    /// Parts that may be saved, as far as this agent knows.
    pub granted: Vec<StoredPart>,
    /// Parts that must not be saved.
    pub refused: Vec<StoredPart>,
}
