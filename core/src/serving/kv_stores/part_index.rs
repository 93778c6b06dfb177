use {
    crate::serving::{stable_hash, PartId, PromptPart},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Tag of a cache namespace, within which prompt parts are shared: hash of the cache salt.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct NamespaceTag(pub u64);

impl NamespaceTag {
    /// The tag of a cache salt.
    pub fn of(salt: &str) -> Self {
        NamespaceTag(stable_hash(salt))
    }
}

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    last_used: u64,
}

/// Prompt parts that an engine or store is believed to cache; the least recently used are dropped
/// when the capacity is exceeded.
#[derive(Debug, Clone, Default)]
pub struct PartIndex {
    parts: HashMap<(NamespaceTag, PartId), CachedPart>,
    tokens: u64,
    tick: u64,
}

impl PartIndex {
    /// Tokens of a prompt that are cached, counted from its beginning.
    pub fn cached_prefix_tokens(
        &self,
        namespace: NamespaceTag,
        parts: &[PromptPart],
    ) -> u32 {
        let mut tokens = 0;
        for part in parts {
            let cached = self
                .parts
                .get(&(namespace, part.id))
                .map_or(0, |entry| entry.tokens);
            tokens += cached.min(part.tokens);
            if cached < part.tokens {
                break;
            }
        }
        tokens
    }

    /// Cached tokens of one part.
    pub fn cached_tokens(
        &self,
        namespace: NamespaceTag,
        id: PartId,
    ) -> u32 {
        self.parts
            .get(&(namespace, id))
            .map_or(0, |entry| entry.tokens)
    }

    /// Records that these parts have been used and are cached from now on.
    pub fn touch(
        &mut self,
        namespace: NamespaceTag,
        parts: &[PromptPart],
        capacity_tokens: u64,
    ) {
        for part in parts {
            self.set(namespace, part.id, part.tokens);
        }
        self.evict(capacity_tokens);
    }

    /// Sets how many tokens of a part are cached; 0 removes it.
    pub fn set(
        &mut self,
        namespace: NamespaceTag,
        id: PartId,
        tokens: u32,
    ) {
        self.tick += 1;
        let previous = match tokens {
            0 => self.parts.remove(&(namespace, id)),
            _ => self.parts.insert(
                (namespace, id),
                CachedPart {
                    tokens,
                    last_used: self.tick,
                },
            ),
        };
        self.tokens += u64::from(tokens);
        self.tokens -= u64::from(previous.map_or(0, |entry| entry.tokens));
    }

    /// All parts in a namespace.
    pub fn parts_in(
        &self,
        namespace: NamespaceTag,
    ) -> Vec<PartId> {
        let mut ids: Vec<PartId> = self
            .parts
            .keys()
            .filter(|(tag, _)| *tag == namespace)
            .map(|(_, id)| *id)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Removes all parts.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }

    /// Total tokens that are believed to be cached.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    fn evict(
        &mut self,
        capacity_tokens: u64,
    ) {
        if self.tokens <= capacity_tokens {
            return;
        }
        let mut by_age: Vec<(u64, (NamespaceTag, PartId))> = self
            .parts
            .iter()
            .map(|(key, cached)| (cached.last_used, *key))
            .collect();
        by_age.sort_unstable();
        // Evicts a tenth more than needed, so that not every use triggers an eviction.
        let target = capacity_tokens - capacity_tokens / 10;
        for (_, (namespace, id)) in by_age {
            if self.tokens <= target {
                return;
            }
            self.set(namespace, id, 0);
        }
    }
}
