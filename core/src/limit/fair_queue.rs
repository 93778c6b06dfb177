use {crate::time::Micros, std::collections::BTreeMap};

/// Work waiting in a [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedWork<K> {
    /// Key that identifies the work.
    pub key: K,
    /// Size in tokens.
    pub tokens: u32,
    /// Time by which its response must have begun.
    pub deadline: Micros,
    start_tag: f64,
}

/// A start-time fair queue over organisations, weighted by tokens, so that the backlog
/// of one organisation does not delay another.
#[derive(Debug, Clone)]
pub struct FairQueue<K> {
    waiting: BTreeMap<String, Vec<QueuedWork<K>>>,
    finish_tags: BTreeMap<String, f64>,
    virtual_time: f64,
    length: usize,
    tokens: u64,
}

impl<K: Copy + PartialEq> Default for FairQueue<K> {
    fn default() -> Self {
        FairQueue {
            waiting: BTreeMap::new(),
            finish_tags: BTreeMap::new(),
            virtual_time: 0.0,
            length: 0,
            tokens: 0,
        }
    }
}

impl<K: Copy + PartialEq> FairQueue<K> {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Total size of the entries, in tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Enqueues work.
    pub fn push(
        &mut self,
        organisation: &str,
        key: K,
        tokens: u32,
        deadline: Micros,
    ) {
        let previous_finish = self.finish_tags.get(organisation).copied().unwrap_or(0.0);
        let start_tag = previous_finish.max(self.virtual_time);
        let finish_tag = start_tag + f64::from(tokens.max(1));
        self.finish_tags
            .insert(organisation.to_string(), finish_tag);
        let queue = self.waiting.entry(organisation.to_string()).or_default();
        queue.push(QueuedWork {
            key,
            tokens,
            deadline,
            start_tag,
        });
        self.length += 1;
        self.tokens += u64::from(tokens);
    }

    /// Dequeues the entry with the lowest start tag.
    pub fn pop(&mut self) -> Option<QueuedWork<K>> {
        let heads = self.waiting.iter().filter_map(|(name, queue)| {
            let head = queue.first()?;
            Some((name, head.start_tag))
        });
        let next = heads.min_by(|a, b| a.1.total_cmp(&b.1));
        let organisation = next?.0.clone();
        let queue = self.waiting.get_mut(&organisation)?;
        let work = queue.remove(0);
        self.virtual_time = self.virtual_time.max(work.start_tag);
        self.on_removed(&organisation, &work);
        Some(work)
    }

    /// Removes one entry; returns false if there is none with this key.
    pub fn remove(
        &mut self,
        key: K,
    ) -> bool {
        let position = self.waiting.iter().find_map(|(name, queue)| {
            let index = queue.iter().position(|w| w.key == key)?;
            Some((name.clone(), index))
        });
        let Some((organisation, index)) = position else {
            return false;
        };
        if let Some(queue) = self.waiting.get_mut(&organisation) {
            let work = queue.remove(index);
            self.on_removed(&organisation, &work);
        }
        true
    }

    /// Keys of the entries whose deadline has passed.
    pub fn overdue(
        &self,
        now: Micros,
    ) -> Vec<K> {
        let all = self.waiting.values().flatten();
        all.filter(|w| w.deadline <= now).map(|w| w.key).collect()
    }

    /// Keys of all entries.
    pub fn keys(&self) -> Vec<K> {
        self.waiting.values().flatten().map(|w| w.key).collect()
    }

    fn on_removed(
        &mut self,
        organisation: &str,
        work: &QueuedWork<K>,
    ) {
        self.length -= 1;
        self.tokens -= u64::from(work.tokens);
        let empty = self.waiting.get(organisation).is_some_and(Vec::is_empty);
        if empty {
            self.waiting.remove(organisation);
        }
        if self.length == 0 {
            self.finish_tags.clear();
            self.virtual_time = 0.0;
        }
    }
}
