use {
    super::EngineAgentContext,
    pitchhitch_core::{serving::NamespaceTag, time::Micros},
    pitchhitch_platform::{KvChanges, KvClient, KvError},
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::{KvStorePart, KvStoreUpdate},
    smol::Timer,
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Time for which a store is polled after the last request of a front.
const REQUEST_TTL: Micros = Micros::from_secs(6);
/// Maximum number of stores that one process polls.
const MAX_STORES: usize = 16;
/// Interval of checks for newly requested stores.
const REQUEST_CHECK_INTERVAL: Micros = Micros::from_millis(200);
/// Maximum duration of a long poll.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Delay between two polls.
const POLL_DELAY: Micros = Micros::from_millis(200);
/// Delay after a failed poll.
const RETRY_DELAY: Micros = Micros::from_millis(400);
/// Timeout of a poll, in addition to its maximum duration.
const EXTRA_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of digests that contain a change: some may get lost.
const DIGESTS_PER_CHANGE: u64 = 3;
/// Time after a store's latest response for which updates about it are sent.
const MAX_UPDATE_AGE: Micros = Micros::from_millis(1_500);
/// Maximum number of changes in the update of one store.
const MAX_CHANGES: usize = 400;

/// KV stores that are polled on behalf of all fronts. When each front polled each store itself, a
/// hundred fronts used most of the long polls that the stores accept at once.
#[derive(Debug, Default)]
pub(crate) struct PolledKvStores {
    requested: BTreeMap<SocketAddr, Micros>,
    polled: BTreeMap<SocketAddr, PolledKvStore>,
}

/// Latest responses of one store.
#[derive(Debug)]
struct PolledKvStore {
    epoch: u64,
    clock_ms: Option<u64>,
    sent_at: Micros,
    answered_at: Micros,
    from: u64,
    next: u64,
    parts: VecDeque<(KvStorePart, Micros)>,
}

impl PolledKvStore {
    fn to_update(
        &self,
        store: SocketAddr,
        now: Micros,
    ) -> KvStoreUpdate {
        KvStoreUpdate {
            store,
            epoch: self.epoch,
            clock_ms: self.clock_ms,
            answered: now.since(self.answered_at),
            age: now.since(self.sent_at),
            from: self.from,
            next: self.next,
            parts: self.parts.iter().map(|(part, _)| *part).collect(),
        }
    }

    /// Removes changes that enough digests, sent at this interval, have contained.
    fn prune(
        &mut self,
        digest_interval: Micros,
        now: Micros,
    ) {
        let report_period = Micros(digest_interval.0 * DIGESTS_PER_CHANGE);
        let is_old = |(_, at): &(KvStorePart, Micros)| now.since(*at) > report_period;
        while self.parts.len() > MAX_CHANGES || self.parts.front().is_some_and(is_old) {
            if let Some((part, _)) = self.parts.pop_front() {
                self.from = part.number;
            }
        }
    }
}

impl PolledKvStores {
    /// Records a front's request to poll this store.
    pub fn request(
        &mut self,
        store: SocketAddr,
        now: Micros,
    ) {
        if self.requested.len() < MAX_STORES || self.requested.contains_key(&store) {
            self.requested.insert(store, now);
        }
    }

    /// Updates of stores that responded recently, for digests sent at this interval.
    pub fn recent_updates(
        &mut self,
        digest_interval: Micros,
        now: Micros,
    ) -> Vec<KvStoreUpdate> {
        let mut updates = Vec::new();
        for (store, polled_store) in &mut self.polled {
            polled_store.prune(digest_interval, now);
            if now.since(polled_store.answered_at) < MAX_UPDATE_AGE {
                updates.push(polled_store.to_update(*store, now));
            }
        }
        updates
    }

    fn is_requested(
        &self,
        store: SocketAddr,
        now: Micros,
    ) -> bool {
        let requested_at = self.requested.get(&store);
        requested_at.is_some_and(|at| now.since(*at) < REQUEST_TTL)
    }

    fn record_changes(
        &mut self,
        store: SocketAddr,
        changes: &KvChanges,
        sent_at: Micros,
        now: Micros,
    ) {
        let known = self.polled.remove(&store);
        let known = known.filter(|known| known.epoch == changes.epoch && !changes.has_gap);
        let mut polled_store = known.unwrap_or(PolledKvStore {
            epoch: changes.epoch,
            clock_ms: None,
            sent_at,
            answered_at: now,
            // Earlier changes are unknown here: a front that lacks them polls the store itself.
            from: changes.next,
            next: changes.next,
            parts: VecDeque::new(),
        });
        let is_known = |number: u64| number <= polled_store.next;
        let new_changes = changes
            .changes
            .iter()
            .filter(|change| !is_known(change.number));
        let parts: Vec<KvStorePart> = new_changes
            .map(|change| KvStorePart {
                number: change.number,
                namespace: NamespaceTag::of(&change.salt),
                id: change.id,
                tokens: change.tokens,
            })
            .collect();
        polled_store
            .parts
            .extend(parts.into_iter().map(|part| (part, now)));
        polled_store.clock_ms = changes.clock_ms;
        polled_store.sent_at = sent_at;
        polled_store.answered_at = now;
        polled_store.next = changes.next;
        self.polled.insert(store, polled_store);
    }

    fn remove(
        &mut self,
        store: SocketAddr,
    ) {
        self.polled.remove(&store);
    }
}

/// Runs a polling task for each store that fronts requested.
pub(crate) async fn poll_stores(agent: Rc<EngineAgentContext>) {
    let mut polling: BTreeMap<SocketAddr, ()> = BTreeMap::new();
    loop {
        Timer::after(to_duration(REQUEST_CHECK_INTERVAL)).await;
        let now = agent.now();
        let requested: Vec<SocketAddr> = {
            let mut state = agent.state();
            let stores = &mut state.stores;
            stores
                .requested
                .retain(|_, at| now.since(*at) < REQUEST_TTL);
            stores.requested.keys().copied().collect()
        };
        polling.retain(|store, ()| requested.contains(store));
        for store in requested {
            if polling.insert(store, ()).is_none() {
                let address = store.to_string();
                log::info!(event = "store-read", store = address.as_str(); "");
                agent.spawn(poll_store(agent.clone(), store));
            }
        }
    }
}

async fn poll_store(
    agent: Rc<EngineAgentContext>,
    store: SocketAddr,
) {
    let mut client = KvClient::new(store, EXTRA_TIMEOUT);
    let mut next: Option<u64> = None;
    while agent.state().stores.is_requested(store, agent.now()) {
        let delay = match next {
            None => {
                next = client.list().await.map(|list| list.next);
                next.map_or(RETRY_DELAY, |_| Micros::ZERO)
            }
            Some(since) => {
                let sent_at = agent.now();
                let changes = client.changes(since, POLL_WAIT).await;
                let now = agent.now();
                let mut state = agent.state();
                match changes {
                    Ok(changes) => {
                        state.stores.record_changes(store, &changes, sent_at, now);
                        next = Some(changes.next);
                        POLL_DELAY
                    }
                    Err(KvError::Busy) => RETRY_DELAY,
                    Err(KvError::Unavailable) => {
                        state.stores.remove(store);
                        next = None;
                        RETRY_DELAY
                    }
                }
            }
        };
        Timer::after(to_duration(delay)).await;
    }
    agent.state().stores.remove(store);
}
