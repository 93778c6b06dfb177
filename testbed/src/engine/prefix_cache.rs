use {
    pitchhitch_agent::endpoint::{EngineCache, EngineChange, EngineChanges},
    pitchhitch_core::kv_cache::PieceKey,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Changes that can still be read.
const NEWS_ROOM: usize = 2_000;

#[derive(Debug, Clone, Copy)]
struct NumberedChange {
    number: u64,
    at: Instant,
    change: EngineChange,
}

/// Bounded cache of prompt pieces; what was not used for longest goes first.
#[derive(Debug)]
pub struct PrefixCache {
    room: usize,
    used_at: BTreeMap<PieceKey, u64>,
    order: BTreeMap<u64, PieceKey>,
    clock: u64,
    news: VecDeque<NumberedChange>,
    next_number: u64,
}

impl PrefixCache {
    /// An empty cache for so many pieces.
    pub fn new(room: usize) -> Self {
        PrefixCache {
            room,
            used_at: BTreeMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            news: VecDeque::new(),
            next_number: 0,
        }
    }

    /// Leading pieces that are there; they count as used.
    pub fn use_prefix(
        &mut self,
        pieces: &[PieceKey],
    ) -> usize {
        let found = pieces
            .iter()
            .take_while(|key| self.used_at.contains_key(key))
            .count();
        for key in &pieces[..found] {
            self.touch(*key);
        }
        found
    }

    /// Whether a piece is there.
    pub fn contains(
        &self,
        key: PieceKey,
    ) -> bool {
        self.used_at.contains_key(&key)
    }

    /// Adds a piece, dropping others where there is no room.
    pub fn add(
        &mut self,
        key: PieceKey,
    ) {
        let known = self.used_at.contains_key(&key);
        self.touch(key);
        if known {
            return;
        }
        self.note(EngineChange::Added(key));
        while self.used_at.len() > self.room {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.used_at.remove(&oldest);
            self.note(EngineChange::Dropped(oldest));
        }
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.used_at.clear();
        self.order.clear();
        self.note(EngineChange::Cleared);
    }

    /// Changes from a number on that are old enough to be published.
    pub fn news(
        &self,
        from: u64,
        delay: Duration,
    ) -> EngineChanges {
        let first = self.news.front().map_or(self.next_number, |n| n.number);
        let first = first.max(from);
        let ripe = self
            .news
            .iter()
            .filter(|n| n.number >= first && n.at.elapsed() >= delay);
        EngineChanges {
            first,
            changes: ripe.map(|n| n.change).collect(),
        }
    }

    /// The whole cache.
    pub fn list(&self) -> EngineCache {
        EngineCache {
            next: self.next_number,
            keys: self.used_at.keys().copied().collect(),
        }
    }

    fn touch(
        &mut self,
        key: PieceKey,
    ) {
        self.clock += 1;
        if let Some(before) = self.used_at.insert(key, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, key);
    }

    fn note(
        &mut self,
        change: EngineChange,
    ) {
        self.news.push_back(NumberedChange {
            number: self.next_number,
            at: Instant::now(),
            change,
        });
        self.next_number += 1;
        if self.news.len() > NEWS_ROOM {
            self.news.pop_front();
        }
    }
}
