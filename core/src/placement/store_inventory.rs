use {crate::kv_cache::PieceKey, std::collections::BTreeMap};

/// Part of a full store box that is freed in one go: one in so many pieces.
const EVICTION_DIVISOR: usize = 16;
/// Pieces that are freed at least.
const MIN_EVICTED_PIECES: usize = 32;

/// One sealed piece of a prompt, as its store box has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InventoryPiece {
    /// The piece.
    pub key: PieceKey,
    /// Its generation.
    pub generation: u64,
}

/// Which prompt the sealed pieces of one store box belong to.
#[derive(Debug, Clone, Default)]
pub struct StoreInventory {
    prompts: BTreeMap<PieceKey, Vec<InventoryPiece>>,
    length: usize,
}

impl StoreInventory {
    /// Pieces in the ledger.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no piece is known.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Notes a sealed piece of a prompt.
    pub fn add(
        &mut self,
        identity: PieceKey,
        piece: InventoryPiece,
    ) {
        let pieces = self.prompts.entry(identity).or_default();
        match pieces.iter_mut().find(|p| p.key == piece.key) {
            Some(known) => *known = piece,
            None => {
                pieces.push(piece);
                self.length += 1;
            }
        }
    }

    /// Keeps just the pieces that the store box lists. One whose prompt nobody
    /// has told about stands for itself, and goes first.
    pub fn reconcile(
        &mut self,
        listed: Vec<InventoryPiece>,
    ) {
        let mut owners = BTreeMap::new();
        for (identity, pieces) in &self.prompts {
            for piece in pieces {
                owners.insert(piece.key, *identity);
            }
        }
        self.prompts.clear();
        self.length = 0;
        for piece in listed {
            let identity = owners.get(&piece.key).copied().unwrap_or(piece.key);
            self.add(identity, piece);
        }
    }

    /// Takes out the pieces that are worth least, whole prompts at a time.
    ///
    /// `reuse_probability` tells how likely a prompt is to come back. All pieces are of one
    /// size, so what a byte is worth depends on that chance alone.
    pub fn evict(
        &mut self,
        reuse_probability: impl Fn(PieceKey) -> f64,
    ) -> Vec<InventoryPiece> {
        let wanted = (self.length / EVICTION_DIVISOR).max(MIN_EVICTED_PIECES);
        let mut ranked: Vec<RankedPrompt> = self
            .prompts
            .keys()
            .map(|identity| RankedPrompt {
                identity: *identity,
                reuse_probability: reuse_probability(*identity),
            })
            .collect();
        ranked.sort_by(|a, b| {
            a.reuse_probability
                .total_cmp(&b.reuse_probability)
                .then(a.identity.cmp(&b.identity))
        });
        let mut evicted = Vec::new();
        for prompt in ranked {
            if evicted.len() >= wanted {
                break;
            }
            if let Some(pieces) = self.prompts.remove(&prompt.identity) {
                self.length -= pieces.len();
                evicted.extend(pieces);
            }
        }
        evicted
    }
}

struct RankedPrompt {
    identity: PieceKey,
    reuse_probability: f64,
}
