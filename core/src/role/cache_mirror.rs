use {
    super::{CacheChange, MissingNotice, StoredNotice, UpwardEvent},
    crate::kv_cache::PieceKey,
    std::collections::{BTreeMap, BTreeSet},
};

/// Stored pieces that an agent remembers for new subscribers.
const STORED_LIMIT: usize = 65_536;

/// What an agent knows of its engine's cache and of the pieces it sealed.
#[derive(Debug, Clone, Default)]
pub struct CacheMirror {
    cached: BTreeSet<PieceKey>,
    stored: BTreeMap<PieceKey, StoredNotice>,
    next_change: Option<u64>,
}

/// What came of cache news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NewsOutcome {
    /// They joined on to what was known.
    Applied,
    /// Something between was missed.
    Gap,
}

impl CacheMirror {
    /// Applies news of the engine if they join on to what is known.
    pub fn apply_news(
        &mut self,
        first: u64,
        changes: &[CacheChange],
    ) -> NewsOutcome {
        if self.next_change != Some(first) {
            return NewsOutcome::Gap;
        }
        for change in changes {
            match change {
                CacheChange::Added(key) => {
                    self.cached.insert(*key);
                }
                CacheChange::Dropped(key) => {
                    self.cached.remove(key);
                }
                CacheChange::Cleared => self.cached.clear(),
            }
        }
        self.next_change = Some(first + changes.len() as u64);
        NewsOutcome::Applied
    }

    /// Replaces everything by a whole list of the engine.
    pub fn replace(
        &mut self,
        next: u64,
        keys: Vec<PieceKey>,
    ) {
        self.cached = keys.into_iter().collect();
        self.next_change = Some(next);
    }

    /// Forgets the engine's cache, as after its restart.
    pub fn forget(&mut self) {
        self.cached.clear();
        self.next_change = None;
    }

    /// Notes a sealed piece.
    pub fn stored(
        &mut self,
        notice: StoredNotice,
    ) {
        if self.stored.len() >= STORED_LIMIT {
            self.stored.pop_first();
        }
        self.stored.insert(notice.key, notice);
    }

    /// Notes that a stored piece is gone.
    pub fn missing(
        &mut self,
        notice: &MissingNotice,
    ) {
        let same = self
            .stored
            .get(&notice.key)
            .is_some_and(|s| s.generation == notice.generation);
        if same {
            self.stored.remove(&notice.key);
        }
    }

    /// Everything that is known, as events for a new subscriber.
    pub fn snapshot(&self) -> Vec<UpwardEvent> {
        let cached = self.cached.iter().copied().map(UpwardEvent::Cached);
        let stored = self.stored.values().cloned().map(UpwardEvent::Stored);
        cached.chain(stored).collect()
    }
}

impl From<CacheChange> for UpwardEvent {
    fn from(change: CacheChange) -> Self {
        match change {
            CacheChange::Added(key) => UpwardEvent::Cached(key),
            CacheChange::Dropped(key) => UpwardEvent::Evicted(key),
            CacheChange::Cleared => UpwardEvent::Cleared,
        }
    }
}
