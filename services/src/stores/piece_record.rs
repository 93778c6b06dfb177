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
    /// The piece.
    pub key: PieceKey,
    /// Its tier.
    pub tier: StoreTier,
    /// Its generation.
    pub generation: u64,
    /// Its length, in bytes.
    pub length: u64,
}

/// All sealed pieces of a store box.
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
