use {
    pitchhitch_core::serving::{PartId, PromptPart},
    std::collections::{BTreeMap, HashMap},
};

#[derive(Debug, Clone, Copy)]
struct KeptPart {
    tokens: u32,
    blocks: u64,
    /// Requests that run on it; it cannot give way while there are any.
    pins: u32,
    /// When it was last used, as a count of uses.
    used: u64,
}

/// Memory of one engine: what requests that run hold for themselves, and parts,
/// on which several may run. Of the parts that nobody runs on, the least recently
/// used give way.
#[derive(Debug)]
pub struct EngineMemory {
    total: u64,
    block_tokens: u32,
    own: u64,
    pinned: u64,
    loose: u64,
    parts: HashMap<PartId, KeptPart>,
    loose_by_use: BTreeMap<u64, PartId>,
    uses: u64,
    changes: Vec<(PartId, u32)>,
}

impl EngineMemory {
    /// Empty memory of so many tokens, handed out in blocks.
    pub fn new(
        total: u64,
        block_tokens: u32,
    ) -> Self {
        EngineMemory {
            total,
            block_tokens: block_tokens.max(1),
            own: 0,
            pinned: 0,
            loose: 0,
            parts: HashMap::new(),
            loose_by_use: BTreeMap::new(),
            uses: 0,
            changes: Vec::new(),
        }
    }

    /// Tokens of all memory.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Tokens that cannot give way.
    pub fn used(&self) -> u64 {
        self.own + self.pinned
    }

    /// Whether a part is kept.
    pub fn keeps(
        &self,
        id: PartId,
    ) -> bool {
        self.parts.contains_key(&id)
    }

    /// How many parts of a prompt are kept, counted from its beginning.
    pub fn kept_parts(
        &self,
        parts: &[PromptPart],
    ) -> usize {
        parts.iter().take_while(|part| self.keeps(part.id)).count()
    }

    /// What has come and gone since this was asked last; 0 tokens where it went.
    pub fn take_changes(&mut self) -> Vec<(PartId, u32)> {
        std::mem::take(&mut self.changes)
    }

    /// A request begins to run on a part that is kept.
    pub fn pin(
        &mut self,
        id: PartId,
    ) {
        let Some(part) = self.parts.get_mut(&id) else {
            return;
        };
        if part.pins == 0 {
            self.loose_by_use.remove(&part.used);
            self.loose -= part.blocks;
            self.pinned += part.blocks;
        }
        part.pins += 1;
    }

    /// A request runs no more on a part.
    pub fn unpin(
        &mut self,
        id: PartId,
    ) {
        self.uses += 1;
        let Some(part) = self.parts.get_mut(&id).filter(|part| part.pins > 0) else {
            return;
        };
        part.pins -= 1;
        part.used = self.uses;
        if part.pins == 0 {
            self.loose_by_use.insert(self.uses, id);
            self.pinned -= part.blocks;
            self.loose += part.blocks;
        }
    }

    /// Lets one part go that nobody runs on.
    pub fn forget(
        &mut self,
        id: PartId,
    ) {
        let Some(part) = self.parts.get(&id).copied().filter(|part| part.pins == 0) else {
            return;
        };
        self.parts.remove(&id);
        self.loose_by_use.remove(&part.used);
        self.loose -= part.blocks;
        self.changes.push((id, 0));
    }

    /// Lets parts give way until so many tokens are free; false, and nothing
    /// gone, where that is impossible.
    pub fn make_room(
        &mut self,
        tokens: u64,
    ) -> bool {
        if self.used() + tokens > self.total {
            return false;
        }
        while self.used() + self.loose + tokens > self.total {
            let Some((_, id)) = self.loose_by_use.pop_first() else {
                return false;
            };
            if let Some(part) = self.parts.remove(&id) {
                self.loose -= part.blocks;
                self.changes.push((id, 0));
            }
        }
        true
    }

    /// A request takes memory of its own; false where there is none.
    pub fn take_own(
        &mut self,
        tokens: u64,
    ) -> bool {
        let has_room = self.make_room(tokens);
        if has_room {
            self.own += tokens;
        }
        has_room
    }

    /// A request gives back memory of its own.
    pub fn give_own(
        &mut self,
        tokens: u64,
    ) {
        self.own = self.own.saturating_sub(tokens);
    }

    /// A part that a request has read is kept from now on, and the request runs
    /// on it. Its memory was the request's own.
    pub fn keep_read(
        &mut self,
        part: PromptPart,
    ) {
        self.give_own(self.blocks(part.tokens));
        if !self.keeps(part.id) {
            self.insert(part);
        }
        self.pin(part.id);
    }

    /// A part that was fetched is kept from now on, if there is room.
    pub fn keep_fetched(
        &mut self,
        part: PromptPart,
    ) -> bool {
        if self.keeps(part.id) {
            return true;
        }
        let has_room = self.make_room(self.blocks(part.tokens));
        if has_room {
            self.insert(part);
        }
        has_room
    }

    fn insert(
        &mut self,
        part: PromptPart,
    ) {
        self.uses += 1;
        let blocks = self.blocks(part.tokens);
        let kept = KeptPart {
            tokens: part.tokens,
            blocks,
            pins: 0,
            used: self.uses,
        };
        self.parts.insert(part.id, kept);
        self.loose_by_use.insert(self.uses, part.id);
        self.loose += blocks;
        self.changes.push((part.id, kept.tokens));
    }

    /// Memory that so many tokens take.
    pub fn blocks(
        &self,
        tokens: u32,
    ) -> u64 {
        u64::from(tokens.div_ceil(self.block_tokens)) * u64::from(self.block_tokens)
    }
}
