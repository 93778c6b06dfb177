use {
    crate::serving::{KvStore, KvStoreUptime, NamespaceTag, PartId, PartIndex},
    crate::time::Micros,
    std::collections::HashMap,
};

/// Age up to which a view of a store may be used, from when the request was sent until a fetch must
/// have ended. A store that restarts is empty, and a part that is being rewritten must not be
/// treated as complete.
pub const VIEW_TTL: Micros = Micros::from_millis(2_000);
/// Time that an incarnation of a store must have lasted before anything is saved there: by then all
/// views of the previous incarnation have expired.
pub const SAVE_DELAY: Micros = Micros::from_millis(2_400);
/// Time within which a requested save appears in the store.
const SAVE_TIMEOUT: Micros = Micros::from_secs(3);
/// Time for which a save that was not granted is not requested again.
const REFUSAL_TIME: Micros = Micros::from_millis(500);
/// Percentage of a store's capacity that saves may fill; the store rounds up to whole blocks.
const FILL_PERCENT: u64 = 96;

/// View of one store's content.
#[derive(Debug, Clone)]
pub struct KvStoreView {
    /// Store that is described.
    pub store: KvStore,
    /// Complete parts.
    pub parts: PartIndex,
    /// Change number up to which the parts are known; `None` if the whole list has to be read
    /// again.
    pub next_change: Option<u64>,
    /// When another process last reported its reads of the store.
    pub reported_at: Option<Micros>,
    epoch: Option<u64>,
    epoch_seen_at: Micros,
    /// Incarnation reported by another box, and when the report arrived.
    uptime_report: Option<(KvStoreUptime, Micros)>,
    proven_at: Option<Micros>,
    clock: Option<(u64, Micros)>,
    max_clock: Option<(u64, Micros)>,
    /// Tokens of each expected part, and when it is no longer expected.
    pending: HashMap<(NamespaceTag, PartId), (u32, Micros)>,
    pending_tokens: u64,
    busy_until: Micros,
}

impl KvStoreView {
    /// Starts with no knowledge of the store's content.
    pub fn new(store: KvStore) -> Self {
        KvStoreView {
            store,
            parts: PartIndex::default(),
            next_change: None,
            reported_at: None,
            epoch: None,
            epoch_seen_at: Micros::ZERO,
            uptime_report: None,
            proven_at: None,
            clock: None,
            max_clock: None,
            pending: HashMap::new(),
            pending_tokens: 0,
            busy_until: Micros::ZERO,
        }
    }

    /// Known incarnation of the store.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Known incarnation and the minimum time for which it has lasted: since a response showed it
    /// here, or as reported by another box.
    pub fn uptime(
        &self,
        now: Micros,
    ) -> Option<KvStoreUptime> {
        let epoch = self.epoch?;
        let seen_for = now.since(self.epoch_seen_at);
        let reported = self
            .uptime_report
            .filter(|(reported, _)| reported.epoch == epoch);
        let reported_for = reported.map(|(reported, at)| reported.lasted + now.since(at));
        Some(KvStoreUptime {
            address: self.store.address,
            epoch,
            lasted: reported_for.map_or(seen_for, |reported| reported.max(seen_for)),
        })
    }

    /// Records an incarnation reported by another box; the report arrived at `at`.
    ///
    /// A front that starts sees every incarnation for the first time and would save nothing for
    /// [`SAVE_DELAY`]. With such a report it saves from its first request on, if the reporting box
    /// has observed the same incarnation for that long. A minimum age counts from the arrival of
    /// the report: counted from the request, as maximum ages are, it would be too high by any pause
    /// of the other box before its response.
    pub fn record_uptime(
        &mut self,
        reported: &KvStoreUptime,
        at: Micros,
    ) {
        let is_better = match self.uptime_report {
            None => true,
            Some((known, known_at)) if known.epoch == reported.epoch => {
                known.lasted + at.since(known_at) < reported.lasted
            }
            // A box that is out of date reports an earlier incarnation.
            Some((known, _)) => self.epoch != Some(known.epoch),
        };
        if is_better {
            self.uptime_report = Some((*reported, at));
        }
    }

    /// Records a response to a request sent at `sent_at`. Returns true if it shows a new
    /// incarnation, whose content is unknown.
    pub fn record_response(
        &mut self,
        epoch: u64,
        clock_ms: Option<u64>,
        sent_at: Micros,
        now: Micros,
    ) -> bool {
        self.clock = clock_ms.map(|clock| (clock, now));
        let max_clock = clock_ms.map(|clock| (clock, sent_at));
        self.max_clock = max_clock.or(self.max_clock);
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

    /// Records that another process sent a request to the store at `sent_at` or later, in the
    /// known incarnation; `clock_ms` is the time on the engines' clock now, or earlier.
    pub fn record_poll_report(
        &mut self,
        clock_ms: Option<u64>,
        sent_at: Micros,
        now: Micros,
    ) {
        self.reported_at = Some(now);
        if self.proven_at.is_some_and(|at| at >= sent_at) {
            return;
        }
        self.proven_at = Some(sent_at);
        if let Some(clock_ms) = clock_ms {
            self.clock = Some((clock_ms, now));
            self.max_clock = Some((clock_ms, sent_at));
        }
    }

    /// Records that the store did not respond: the view may not be used.
    pub fn mark_unreachable(&mut self) {
        self.proven_at = None;
    }

    /// Records that a part is complete, or deleted if `tokens` is 0.
    pub fn set_part(
        &mut self,
        namespace: NamespaceTag,
        id: PartId,
        tokens: u32,
    ) {
        self.parts.set(namespace, id, tokens);
        if let Some((tokens, _)) = self.pending.remove(&(namespace, id)) {
            self.pending_tokens -= u64::from(tokens);
        }
    }

    /// Time on the engines' clock now or earlier, extrapolated from this store's last response.
    pub fn clock_ms(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + now.since(at).as_millis())
    }

    /// Latest possible time on the engines' clock, which is exact if the store responded
    /// immediately.
    pub fn max_clock_ms(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let (clock, at) = self.max_clock?;
        Some(clock + now.since(at).as_millis() + 1)
    }

    /// Deadline of a fetch on the engines' clock; `None` if there is no time for one.
    pub fn fetch_until_ms(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let left = (self.proven_at? + VIEW_TTL).since(now);
        let clock_ms = self.clock_ms(now)?;
        (left > Micros::ZERO).then(|| clock_ms + left.as_millis())
    }

    /// Whether the last request succeeded, but too long ago for the view to be used: the next
    /// response is due.
    pub fn is_stale(
        &self,
        now: Micros,
    ) -> bool {
        self.proven_at.is_some_and(|at| now.since(at) >= VIEW_TTL)
    }

    /// Time in milliseconds to fetch `bytes` from within the store's failure domain, including the
    /// wait for transfers requested before.
    pub fn fetch_ms(
        &self,
        bytes: u64,
        now: Micros,
    ) -> f64 {
        let wait = self.busy_until.since(now).0 as f64 / 1e3;
        wait + self.store.first_ms + transfer_ms(bytes, self.store.link_mbps)
    }

    /// Adds a requested fetch or save to the store's queue of transfers.
    pub fn reserve_link(
        &mut self,
        millis: f64,
        now: Micros,
    ) {
        let from = self.busy_until.max(now);
        self.busy_until = from + Micros((millis.max(0.0) * 1e3) as u64);
    }

    /// Whether a part may be saved here now.
    pub fn can_save(
        &self,
        tokens: u32,
        now: Micros,
    ) -> bool {
        let is_settled = self
            .uptime(now)
            .is_some_and(|uptime| uptime.lasted > SAVE_DELAY);
        let is_current = self.proven_at.is_some_and(|at| now.since(at) < VIEW_TTL);
        let used = self.parts.tokens() + self.pending_tokens + u64::from(tokens);
        is_settled && is_current && used * 100 <= self.store.capacity_tokens * FILL_PERCENT
    }

    /// Whether the store has a part, or a save of it is pending.
    pub fn has_or_expects(
        &self,
        namespace: NamespaceTag,
        id: PartId,
        tokens: u32,
    ) -> bool {
        self.parts.cached_tokens(namespace, id) >= tokens
            || self.pending.contains_key(&(namespace, id))
    }

    /// Removes requested saves that have not appeared in time.
    pub fn expire_saves(
        &mut self,
        now: Micros,
    ) {
        let pending_tokens = &mut self.pending_tokens;
        self.pending.retain(|_, (tokens, expires_at)| {
            let is_pending = now < *expires_at;
            if !is_pending {
                *pending_tokens -= u64::from(*tokens);
            }
            is_pending
        });
    }

    /// Records a requested save.
    pub fn record_save(
        &mut self,
        namespace: NamespaceTag,
        id: PartId,
        tokens: u32,
        now: Micros,
    ) {
        self.expire_saves(now);
        let expected = (tokens, now + SAVE_TIMEOUT);
        if self.pending.insert((namespace, id), expected).is_none() {
            self.pending_tokens += u64::from(tokens);
        }
    }

    /// Records that a save was not granted: another request is to save the part, or its keepers do
    /// not know whether one is.
    pub fn record_refusal(
        &mut self,
        namespace: NamespaceTag,
        id: PartId,
        now: Micros,
    ) {
        if let Some(expected) = self.pending.get_mut(&(namespace, id)) {
            self.pending_tokens -= u64::from(expected.0);
            *expected = (0, now + REFUSAL_TIME);
        }
    }
}

/// Time to transfer `bytes` over a link, in milliseconds.
pub fn transfer_ms(
    bytes: u64,
    link_mbps: f64,
) -> f64 {
    bytes as f64 * 8.0 / (link_mbps.max(1.0) * 1e3)
}
