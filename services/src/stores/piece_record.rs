use {
    pitchhitch_core::{
        kv_cache::{PieceKey, StoreTier},
        role::StoredPiece,
    },
    serde::{Deserialize, Serialize},
};

/// One sealed piece as a store box lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceRecord {
    /// Key of the piece.
    pub key: PieceKey,
    /// Storage tier.
    pub tier: StoreTier,
    /// Generation of the piece.
    pub generation: u64,
    /// Length in bytes.
    pub length: u64,
}

/// List of all sealed pieces of a store box.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceList {
    /// The pieces.
    pub pieces: Vec<PieceRecord>,
}

impl From<PieceRecord> for StoredPiece {
    fn from(record: PieceRecord) -> Self {
        StoredPiece {
            key: record.key,
            tier: record.tier,
            generation: record.generation,
        }
    }
}
