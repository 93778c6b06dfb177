use {
    super::{even_number, PartId, PromptPart},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Name of a wall inside which parts are shared: the salt, as one number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct WallTag(pub u64);

impl WallTag {
    /// The tag of a salt.
    pub fn of(salt: &str) -> Self {
        WallTag(even_number(salt))
    }
}

#[derive(Debug, Clone, Copy)]
struct KeptPart {
    tokens: u32,
    used: u64,
}

/// Which parts an engine or store is believed to keep; the least recently used
/// are forgotten where they cannot all have room.
#[derive(Debug, Clone, Default)]
pub struct PartMemory {
    parts: HashMap<(WallTag, PartId), KeptPart>,
    tokens: u64,
    tick: u64,
}

impl PartMemory {
    /// Tokens of a prompt that are kept, counted from its beginning.
    pub fn reuse(
        &self,
        wall: WallTag,
        parts: &[PromptPart],
    ) -> u32 {
        let mut tokens = 0;
        for part in parts {
            let kept = self.parts.get(&(wall, part.id)).map_or(0, |k| k.tokens);
            tokens += kept.min(part.tokens);
            if kept < part.tokens {
                break;
            }
        }
        tokens
    }

    /// Tokens of one part that are kept.
    pub fn tokens_of(
        &self,
        wall: WallTag,
        id: PartId,
    ) -> u32 {
        self.parts.get(&(wall, id)).map_or(0, |k| k.tokens)
    }

    /// Notes that these parts have been used and are kept from now on.
    pub fn touch(
        &mut self,
        wall: WallTag,
        parts: &[PromptPart],
        capacity_tokens: u64,
    ) {
        for part in parts {
            self.set(wall, part.id, part.tokens);
        }
        self.shrink(capacity_tokens);
    }

    /// Notes how many tokens of a part are kept now; 0 where it is gone.
    pub fn set(
        &mut self,
        wall: WallTag,
        id: PartId,
        tokens: u32,
    ) {
        self.tick += 1;
        let before = match tokens {
            0 => self.parts.remove(&(wall, id)),
            _ => self.parts.insert(
                (wall, id),
                KeptPart {
                    tokens,
                    used: self.tick,
                },
            ),
        };
        self.tokens += u64::from(tokens);
        self.tokens -= u64::from(before.map_or(0, |k| k.tokens));
    }

    /// All parts inside one wall.
    pub fn inside(
        &self,
        wall: WallTag,
    ) -> Vec<PartId> {
        let mut ids: Vec<PartId> = self
            .parts
            .keys()
            .filter(|(at, _)| *at == wall)
            .map(|(_, id)| *id)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }

    /// All tokens that are believed to be kept.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    fn shrink(
        &mut self,
        capacity_tokens: u64,
    ) {
        if self.tokens <= capacity_tokens {
            return;
        }
        let mut by_age: Vec<(u64, (WallTag, PartId))> = self
            .parts
            .iter()
            .map(|(key, kept)| (kept.used, *key))
            .collect();
        by_age.sort_unstable();
        // A tenth more than needed goes, so that this is not done at each use.
        let wanted = capacity_tokens - capacity_tokens / 10;
        for (_, (wall, id)) in by_age {
            if self.tokens <= wanted {
                return;
            }
            self.set(wall, id, 0);
        }
    }
}
