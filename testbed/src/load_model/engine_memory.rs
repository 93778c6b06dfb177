use {
    pitchhitch_core::serving::{PartId, PromptPart},
    std::collections::{BTreeMap, HashMap},
};

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    rounded_tokens: u64,
    /// Running requests that use it; it can be evicted only while there are none.
    pins: u32,
    /// Value of the use counter at its last use.
    last_use: u64,
}

/// Memory of one engine: private memory of running requests, and cached parts that requests
/// share. Parts that no running request uses are evicted in least-recently-used order.
#[derive(Debug)]
pub struct EngineMemory {
    total: u64,
    block_tokens: u32,
    private_tokens: u64,
    pinned_tokens: u64,
    unpinned_tokens: u64,
    parts: HashMap<PartId, CachedPart>,
    unpinned_by_use: BTreeMap<u64, PartId>,
    use_count: u64,
    changes: Vec<(PartId, u32)>,
}

impl EngineMemory {
    /// Empty memory of `total` tokens, allocated in blocks.
    pub fn new(
        total: u64,
        block_tokens: u32,
    ) -> Self {
        EngineMemory {
            total,
            block_tokens: block_tokens.max(1),
            private_tokens: 0,
            pinned_tokens: 0,
            unpinned_tokens: 0,
            parts: HashMap::new(),
            unpinned_by_use: BTreeMap::new(),
            use_count: 0,
            changes: Vec::new(),
        }
    }

    /// Total memory, in tokens.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Tokens that cannot be evicted.
    pub fn used(&self) -> u64 {
        self.private_tokens + self.pinned_tokens
    }

    /// Whether a part is cached.
    pub fn contains(
        &self,
        id: PartId,
    ) -> bool {
        self.parts.contains_key(&id)
    }

    /// Number of leading parts of a prompt that are cached.
    pub fn cached_parts(
        &self,
        parts: &[PromptPart],
    ) -> usize {
        parts
            .iter()
            .take_while(|part| self.contains(part.id))
            .count()
    }

    /// Parts added and evicted since the last call; 0 tokens mark an evicted part.
    pub fn take_changes(&mut self) -> Vec<(PartId, u32)> {
        std::mem::take(&mut self.changes)
    }

    /// Marks a cached part as used by one more running request.
    pub fn pin(
        &mut self,
        id: PartId,
    ) {
        let Some(part) = self.parts.get_mut(&id) else {
            return;
        };
        if part.pins == 0 {
            self.unpinned_by_use.remove(&part.last_use);
            self.unpinned_tokens -= part.rounded_tokens;
            self.pinned_tokens += part.rounded_tokens;
        }
        part.pins += 1;
    }

    /// Marks a part as used by one running request less.
    pub fn unpin(
        &mut self,
        id: PartId,
    ) {
        self.use_count += 1;
        let Some(part) = self.parts.get_mut(&id).filter(|part| part.pins > 0) else {
            return;
        };
        part.pins -= 1;
        part.last_use = self.use_count;
        if part.pins == 0 {
            self.unpinned_by_use.insert(self.use_count, id);
            self.pinned_tokens -= part.rounded_tokens;
            self.unpinned_tokens += part.rounded_tokens;
        }
    }

    /// Evicts a part, unless a running request uses it.
    pub fn evict(
        &mut self,
        id: PartId,
    ) {
        let Some(part) = self.parts.get(&id).copied().filter(|part| part.pins == 0) else {
            return;
        };
        self.parts.remove(&id);
        self.unpinned_by_use.remove(&part.last_use);
        self.unpinned_tokens -= part.rounded_tokens;
        self.changes.push((id, 0));
    }

    /// Evicts parts until `tokens` tokens are free. Returns false, and evicts nothing, if that is
    /// impossible.
    pub fn make_room(
        &mut self,
        tokens: u64,
    ) -> bool {
        if self.used() + tokens > self.total {
            return false;
        }
        while self.used() + self.unpinned_tokens + tokens > self.total {
            let Some((_, id)) = self.unpinned_by_use.pop_first() else {
                return false;
            };
            if let Some(part) = self.parts.remove(&id) {
                self.unpinned_tokens -= part.rounded_tokens;
                self.changes.push((id, 0));
            }
        }
        true
    }

    /// Allocates private memory for a request; returns false if there is not enough.
    pub fn reserve_private(
        &mut self,
        tokens: u64,
    ) -> bool {
        let has_room = self.make_room(tokens);
        if has_room {
            self.private_tokens += tokens;
        }
        has_room
    }

    /// Frees private memory of a request.
    pub fn release_private(
        &mut self,
        tokens: u64,
    ) {
        self.private_tokens = self.private_tokens.saturating_sub(tokens);
    }

    /// Caches a part that a request has prefilled, and pins it for the request. Its memory was
    /// private to the request until now.
    pub fn insert_prefilled(
        &mut self,
        part: PromptPart,
    ) {
        self.release_private(self.round_to_blocks(part.tokens));
        if !self.contains(part.id) {
            self.insert(part);
        }
        self.pin(part.id);
    }

    /// Caches a fetched part; returns false if there is not enough memory.
    pub fn insert_fetched(
        &mut self,
        part: PromptPart,
    ) -> bool {
        if self.contains(part.id) {
            return true;
        }
        let has_room = self.make_room(self.round_to_blocks(part.tokens));
        if has_room {
            self.insert(part);
        }
        has_room
    }

    fn insert(
        &mut self,
        part: PromptPart,
    ) {
        self.use_count += 1;
        let rounded_tokens = self.round_to_blocks(part.tokens);
        let cached = CachedPart {
            tokens: part.tokens,
            rounded_tokens,
            pins: 0,
            last_use: self.use_count,
        };
        self.parts.insert(part.id, cached);
        self.unpinned_by_use.insert(self.use_count, part.id);
        self.unpinned_tokens += rounded_tokens;
        self.changes.push((part.id, cached.tokens));
    }

    /// Memory that `tokens` tokens occupy, rounded up to whole blocks.
    pub fn round_to_blocks(
        &self,
        tokens: u32,
    ) -> u64 {
        u64::from(tokens.div_ceil(self.block_tokens)) * u64::from(self.block_tokens)
    }
}
