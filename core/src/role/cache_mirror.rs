use {
    super::{CacheChange, EndpointEvent, MissingNotice, StoredNotice},
    crate::kv_cache::PieceKey,
    std::collections::{BTreeMap, BTreeSet},
};

/// Maximum number of stored pieces that an agent tracks for new subscribers.
const MAX_STORED_PIECES: usize = 65_536;

/// Copy of the index of the engine's cache, and the pieces that this agent stored.
#[derive(Debug, Clone, Default)]
pub struct CacheMirror {
    cached: BTreeSet<PieceKey>,
    stored: BTreeMap<PieceKey, StoredNotice>,
    next_change: Option<u64>,
}

/// Result of applying cache changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The changes followed the known state and were applied.
    Applied,
    /// Changes in between were missed; nothing was applied.
    Gap,
}

impl CacheMirror {
    /// Applies changes of the engine's cache if their first sequence number is the expected one.
    pub fn apply_changes(
        &mut self,
        first: u64,
        changes: &[CacheChange],
    ) -> ChangeOutcome {
        if self.next_change != Some(first) {
            return ChangeOutcome::Gap;
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
        ChangeOutcome::Applied
    }

    /// Replaces the cached pieces by a full listing of the engine.
    pub fn replace(
        &mut self,
        next: u64,
        keys: Vec<PieceKey>,
    ) {
        self.cached = keys.into_iter().collect();
        self.next_change = Some(next);
    }

    /// Clears the cached pieces, as after a restart of the engine. Changes are rejected until
    /// the next full listing.
    pub fn clear(&mut self) {
        self.cached.clear();
        self.next_change = None;
    }

    /// Adds a stored piece; at the limit the one with the lowest key is dropped.
    pub fn add_stored(
        &mut self,
        notice: StoredNotice,
    ) {
        if self.stored.len() >= MAX_STORED_PIECES {
            self.stored.pop_first();
        }
        self.stored.insert(notice.key, notice);
    }

    /// Removes a stored piece that was not found; another generation of it stays.
    pub fn remove_stored(
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

    /// Returns all cached and stored pieces as events for a new subscriber.
    pub fn snapshot(&self) -> Vec<EndpointEvent> {
        let cached = self.cached.iter().copied().map(EndpointEvent::Cached);
        let stored = self.stored.values().cloned().map(EndpointEvent::Stored);
        cached.chain(stored).collect()
    }
}

impl From<CacheChange> for EndpointEvent {
    fn from(change: CacheChange) -> Self {
        match change {
            CacheChange::Added(key) => EndpointEvent::Cached(key),
            CacheChange::Dropped(key) => EndpointEvent::Evicted(key),
            CacheChange::Cleared => EndpointEvent::Cleared,
        }
    }
}
