use {
    pitchhitch_agent::endpoint::{EngineCache, EngineChange, EngineChanges},
    pitchhitch_core::kv_cache::PieceKey,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Changes that are kept for readers; older ones show as a gap.
const MAX_CHANGES: usize = 2_000;

#[derive(Debug, Clone, Copy)]
struct SequencedChange {
    sequence: u64,
    at: Instant,
    change: EngineChange,
}

/// Bounded cache of prompt pieces with least-recently-used eviction.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    last_use: BTreeMap<PieceKey, u64>,
    keys_by_use: BTreeMap<u64, PieceKey>,
    use_count: u64,
    changes: VecDeque<SequencedChange>,
    next_sequence: u64,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` pieces.
    pub fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity,
            last_use: BTreeMap::new(),
            keys_by_use: BTreeMap::new(),
            use_count: 0,
            changes: VecDeque::new(),
            next_sequence: 0,
        }
    }

    /// Returns the number of leading pieces that are cached, and marks them as used.
    pub fn use_prefix(
        &mut self,
        pieces: &[PieceKey],
    ) -> usize {
        let found = pieces
            .iter()
            .take_while(|key| self.last_use.contains_key(key))
            .count();
        for key in &pieces[..found] {
            self.touch(*key);
        }
        found
    }

    /// Whether a piece is cached.
    pub fn contains(
        &self,
        key: PieceKey,
    ) -> bool {
        self.last_use.contains_key(&key)
    }

    /// Adds a piece, and evicts others beyond the capacity.
    pub fn insert(
        &mut self,
        key: PieceKey,
    ) {
        let is_cached = self.last_use.contains_key(&key);
        self.touch(key);
        if is_cached {
            return;
        }
        self.record(EngineChange::Added(key));
        while self.last_use.len() > self.capacity {
            let Some((_, oldest)) = self.keys_by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&oldest);
            self.record(EngineChange::Dropped(oldest));
        }
    }

    /// Removes all pieces.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.keys_by_use.clear();
        self.record(EngineChange::Cleared);
    }

    /// Changes from a sequence number on that are at least `delay` old.
    pub fn changes_since(
        &self,
        from: u64,
        delay: Duration,
    ) -> EngineChanges {
        let first = self
            .changes
            .front()
            .map_or(self.next_sequence, |n| n.sequence);
        let first = first.max(from);
        let published = self
            .changes
            .iter()
            .filter(|n| n.sequence >= first && n.at.elapsed() >= delay);
        EngineChanges {
            first,
            changes: published.map(|n| n.change).collect(),
        }
    }

    /// All cached pieces.
    pub fn list(&self) -> EngineCache {
        EngineCache {
            next: self.next_sequence,
            keys: self.last_use.keys().copied().collect(),
        }
    }

    fn touch(
        &mut self,
        key: PieceKey,
    ) {
        self.use_count += 1;
        if let Some(previous) = self.last_use.insert(key, self.use_count) {
            self.keys_by_use.remove(&previous);
        }
        self.keys_by_use.insert(self.use_count, key);
    }

    fn record(
        &mut self,
        change: EngineChange,
    ) {
        self.changes.push_back(SequencedChange {
            sequence: self.next_sequence,
            at: Instant::now(),
            change,
        });
        self.next_sequence += 1;
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}
