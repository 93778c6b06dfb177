use {crate::kv_cache::PieceKey, std::collections::BTreeMap};

/// An eviction frees one in this many pieces.
const EVICTION_DIVISOR: usize = 16;
/// Minimum number of pieces freed by an eviction.
const MIN_EVICTED_PIECES: usize = 32;

/// A sealed piece on a store box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InventoryPiece {
    /// Key of the piece.
    pub key: PieceKey,
    /// Generation of the copy.
    pub generation: u64,
}

/// The sealed pieces of one store box, grouped by prompt.
#[derive(Debug, Clone, Default)]
pub struct StoreInventory {
    prompts: BTreeMap<PieceKey, Vec<InventoryPiece>>,
    length: usize,
}

impl StoreInventory {
    /// Number of pieces.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no pieces.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds or replaces a sealed piece of the prompt with the key `identity`.
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

    /// Replaces the inventory by the pieces that the store box lists. A piece whose prompt
    /// is unknown becomes a prompt of its own, which is evicted first.
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

    /// Removes and returns the least valuable pieces, whole prompts at a time.
    ///
    /// `reuse_probability` maps a prompt to the probability of its reuse. All pieces have
    /// the same size, so the value per byte depends on this probability alone.
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
