use {
    super::{KvStore, NamespaceTag, PartId, PartIndex, StoreUptime},
    crate::time::Micros,
    std::collections::HashMap,
};

/// Age up to which what is known of a store may be gone by, from when the
/// question was sent until a fetch must have ended. A store that restarts is
/// empty, and a part that is being written anew must not be taken for whole.
pub const VIEW_LIFE: Micros = Micros::from_millis(2_000);
/// Time that a life of a store must have lasted before anything is saved there: by then
/// no view of the life before is gone by any more.
pub const SAVE_AFTER: Micros = Micros::from_millis(2_400);
/// Time in which a save that we asked for shows up.
const SAVE_SHOWS: Micros = Micros::from_secs(3);
/// Part of a store's room that is filled, in hundredths; blocks are rounded up.
const FILL_PART: u64 = 96;

/// What is known of one store's content.
#[derive(Debug, Clone)]
pub struct StoreView {
    /// The store.
    pub store: KvStore,
    /// Parts that are whole.
    pub parts: PartIndex,
    /// Number of the change up to which they are known; nothing where all is to be read anew.
    pub next: Option<u64>,
    /// When another process last told what it had read there.
    pub told_at: Option<Micros>,
    epoch: Option<u64>,
    epoch_seen_at: Micros,
    /// What another box told of a life, and when that had come here.
    told: Option<(StoreUptime, Micros)>,
    proven_at: Option<Micros>,
    clock: Option<(u64, Micros)>,
    latest_clock: Option<(u64, Micros)>,
    pending: HashMap<(NamespaceTag, PartId), (u32, Micros)>,
    pending_tokens: u64,
    busy_until: Micros,
}

impl StoreView {
    /// Nothing is known yet.
    pub fn new(store: KvStore) -> Self {
        StoreView {
            store,
            parts: PartIndex::default(),
            next: None,
            told_at: None,
            epoch: None,
            epoch_seen_at: Micros::ZERO,
            told: None,
            proven_at: None,
            clock: None,
            latest_clock: None,
            pending: HashMap::new(),
            pending_tokens: 0,
            busy_until: Micros::ZERO,
        }
    }

    /// Life of the store that is known.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// The life that is known, and for how long at least it has lasted: since an answer
    /// showed it here, or as another box has told.
    pub fn life(
        &self,
        now: Micros,
    ) -> Option<StoreUptime> {
        let epoch = self.epoch?;
        let seen_for = now.since(self.epoch_seen_at);
        let told = self.told.filter(|(told, _)| told.epoch == epoch);
        let told_for = told.map(|(told, at)| told.lasted + now.since(at));
        Some(StoreUptime {
            address: self.store.address,
            epoch,
            lasted: told_for.map_or(seen_for, |told| told.max(seen_for)),
        })
    }

    /// Takes what another box told of a life; it had come here at `at`.
    ///
    /// A front that starts sees every life for the first time and saves nothing for
    /// [`SAVE_AFTER`]; with this it saves from its first request on where a box that it
    /// asked has watched the same life for that long. A least age counts from when it came:
    /// counted from the question, as greatest ages are, it would be too high by however long
    /// the other box stood still before it answered.
    pub fn tell_life(
        &mut self,
        told: &StoreUptime,
        at: Micros,
    ) {
        let is_better = match self.told {
            None => true,
            Some((known, known_at)) if known.epoch == told.epoch => {
                known.lasted + at.since(known_at) < told.lasted
            }
            // A box that is behind knows an earlier life.
            Some((known, _)) => self.epoch != Some(known.epoch),
        };
        if is_better {
            self.told = Some((*told, at));
        }
    }

    /// Notes an answer of the store to a question sent at `sent_at`; true where
    /// it shows a new life, of which nothing is known.
    pub fn answered(
        &mut self,
        epoch: u64,
        clock_ms: Option<u64>,
        sent_at: Micros,
        now: Micros,
    ) -> bool {
        self.clock = clock_ms.map(|clock| (clock, now));
        let latest = clock_ms.map(|clock| (clock, sent_at));
        self.latest_clock = latest.or(self.latest_clock);
        let is_new = self.epoch != Some(epoch);
        if is_new {
            self.epoch = Some(epoch);
            self.epoch_seen_at = now;
            self.parts.clear();
            self.pending.clear();
            self.pending_tokens = 0;
        }
        self.proven_at = Some(sent_at);
        is_new
    }

    /// Takes that another process asked the store at `sent_at` or later, in the life that is
    /// known; `clock_ms` is the time on the engines' clock now, or earlier.
    pub fn told(
        &mut self,
        clock_ms: Option<u64>,
        sent_at: Micros,
        now: Micros,
    ) {
        self.told_at = Some(now);
        if self.proven_at.is_some_and(|at| at >= sent_at) {
            return;
        }
        self.proven_at = Some(sent_at);
        if let Some(clock_ms) = clock_ms {
            self.clock = Some((clock_ms, now));
            self.latest_clock = Some((clock_ms, sent_at));
        }
    }

    /// The store did not answer: what is known of it is not gone by.
    pub fn lost(&mut self) {
        self.proven_at = None;
    }

    /// Takes that a part is whole now, or gone.
    pub fn set(
        &mut self,
        wall: NamespaceTag,
        id: PartId,
        tokens: u32,
    ) {
        self.parts.set(wall, id, tokens);
        if let Some((tokens, _)) = self.pending.remove(&(wall, id)) {
            self.pending_tokens -= u64::from(tokens);
        }
    }

    /// Time on the engines' clock, as far as this store has told it.
    pub fn clock_ms(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + now.since(at).as_millis())
    }

    /// Time on the engines' clock that is not over yet: had the store answered at
    /// once, it would be so late.
    pub fn latest_clock_ms(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let (clock, at) = self.latest_clock?;
        Some(clock + now.since(at).as_millis() + 1)
    }

    /// Time on the engines' clock by which a fetch must have ended, and whether
    /// there is time for one at all.
    pub fn fetch_until_ms(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let left = (self.proven_at? + VIEW_LIFE).since(now);
        let clock_ms = self.clock_ms(now)?;
        (left > Micros::ZERO).then(|| clock_ms + left.as_millis())
    }

    /// Whether the store answered last time, but too long ago to be gone by: the
    /// next answer is about to come.
    pub fn is_stale(
        &self,
        now: Micros,
    ) -> bool {
        self.proven_at.is_some_and(|at| now.since(at) >= VIEW_LIFE)
    }

    /// Time to fetch so many bytes from within the store's domain, with the
    /// wait for what we have asked for before, in milliseconds.
    pub fn fetch_ms(
        &self,
        bytes: u64,
        now: Micros,
    ) -> f64 {
        let wait = self.busy_until.since(now).0 as f64 / 1e3;
        wait + self.store.first_ms + move_ms(bytes, self.store.link_mbps)
    }

    /// Notes a fetch or save that we ask for.
    pub fn occupy(
        &mut self,
        millis: f64,
        now: Micros,
    ) {
        let from = self.busy_until.max(now);
        self.busy_until = from + Micros((millis.max(0.0) * 1e3) as u64);
    }

    /// Whether a part may be saved here now.
    pub fn takes(
        &self,
        tokens: u32,
        now: Micros,
    ) -> bool {
        let is_settled = self.life(now).is_some_and(|life| life.lasted > SAVE_AFTER);
        let is_known = self.proven_at.is_some_and(|at| now.since(at) < VIEW_LIFE);
        let used = self.parts.tokens() + self.pending_tokens + u64::from(tokens);
        is_settled && is_known && used * 100 <= self.store.capacity_tokens * FILL_PART
    }

    /// Whether a part is kept here, or on its way.
    pub fn has_or_gets(
        &self,
        wall: NamespaceTag,
        id: PartId,
        tokens: u32,
    ) -> bool {
        self.parts.cached_tokens(wall, id) >= tokens || self.pending.contains_key(&(wall, id))
    }

    /// Notes that we ask for a save.
    pub fn saving(
        &mut self,
        wall: NamespaceTag,
        id: PartId,
        tokens: u32,
        now: Micros,
    ) {
        let gone = &mut self.pending_tokens;
        self.pending.retain(|_, (tokens, at)| {
            let waits = now.since(*at) < SAVE_SHOWS;
            if !waits {
                *gone -= u64::from(*tokens);
            }
            waits
        });
        if self.pending.insert((wall, id), (tokens, now)).is_none() {
            self.pending_tokens += u64::from(tokens);
        }
    }
}

/// Time that a move of so many bytes takes on a link, in milliseconds.
pub fn move_ms(
    bytes: u64,
    link_mbps: f64,
) -> f64 {
    bytes as f64 * 8.0 / (link_mbps.max(1.0) * 1e3)
}
