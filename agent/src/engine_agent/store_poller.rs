use {
    super::{EngineAgentContext, PolledKvStore},
    pitchhitch_core::time::Micros,
    pitchhitch_platform::{KvChanges, KvClient, KvError, KvList},
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::{KvStorePart, KvStoreUpdate},
    smol::Timer,
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
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
/// Time after a store's latest response for which updates about it are sent.
const MAX_UPDATE_AGE: Micros = Micros::from_millis(1_500);
/// Time after which a front's request for the whole content of a store is dropped.
const CONTENT_REQUEST_TTL: Micros = Micros::from_secs(2);

/// KV stores that are polled on behalf of all fronts. When each front polled each store itself, a
/// hundred fronts used most of the long polls that the stores accept at once.
#[derive(Debug, Default)]
pub(crate) struct PolledKvStores {
    requested: BTreeMap<SocketAddr, Micros>,
    polled: BTreeMap<SocketAddr, PolledKvStore>,
    /// Stores whose whole content a front asked for, and when it did.
    content_requests: BTreeMap<(SocketAddr, SocketAddr), Micros>,
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

    /// Records that a front asks for the whole content of a store.
    pub fn request_content(
        &mut self,
        store: SocketAddr,
        front: SocketAddr,
        now: Micros,
    ) {
        self.request(store, now);
        self.content_requests.insert((store, front), now);
    }

    /// Takes the requests for whole contents that can be answered now: fronts and updates.
    pub fn take_contents(
        &mut self,
        now: Micros,
    ) -> Vec<(KvStoreUpdate, Vec<SocketAddr>)> {
        self.content_requests
            .retain(|_, at| now.since(*at) < CONTENT_REQUEST_TTL);
        let mut contents = Vec::new();
        for (store, polled_store) in &self.polled {
            let requests = self.content_requests.keys();
            let fronts: Vec<SocketAddr> = requests
                .filter(|(wanted, _)| wanted == store)
                .map(|(_, front)| *front)
                .collect();
            if fronts.is_empty() {
                continue;
            }
            if let Some(update) = polled_store.to_content(*store, now) {
                contents.push((update, fronts));
            }
        }
        for (update, fronts) in &contents {
            for front in fronts {
                self.content_requests.remove(&(update.store, *front));
            }
        }
        contents
    }

    fn is_requested(
        &self,
        store: SocketAddr,
        now: Micros,
    ) -> bool {
        let requested_at = self.requested.get(&store);
        requested_at.is_some_and(|at| now.since(*at) < REQUEST_TTL)
    }

    /// Records changes of a store whose list is known. Returns false if changes are missing, so
    /// that the list has to be read again.
    fn record_changes(
        &mut self,
        store: SocketAddr,
        changes: &KvChanges,
        sent_at: Micros,
        now: Micros,
    ) -> bool {
        let Some(polled_store) = self.polled.get_mut(&store) else {
            return false;
        };
        if polled_store.epoch != changes.epoch || changes.has_gap {
            self.polled.remove(&store);
            return false;
        }
        for change in &changes.changes {
            if change.number <= polled_store.next {
                continue;
            }
            let part = KvStorePart {
                number: change.number,
                namespace: polled_store.set_part(change),
                id: change.id,
                tokens: change.tokens,
            };
            polled_store.parts.push_back((part, now));
        }
        polled_store.clock_ms = changes.clock_ms;
        polled_store.sent_at = sent_at;
        polled_store.answered_at = now;
        polled_store.next = changes.next;
        true
    }

    fn record_list(
        &mut self,
        store: SocketAddr,
        list: &KvList,
        sent_at: Micros,
        now: Micros,
    ) {
        let polled_store = PolledKvStore::from_list(list, sent_at, now);
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
    let mut skips_wait = false;
    while agent.state().stores.is_requested(store, agent.now()) {
        let delay = match next {
            None => {
                let sent_at = agent.now();
                let list = client.list().await;
                next = list.as_ref().map(|list| list.next);
                if let Some(list) = &list {
                    let now = agent.now();
                    agent.state().stores.record_list(store, list, sent_at, now);
                    // The time on the engines' clock comes with the changes.
                    skips_wait = true;
                }
                next.map_or(RETRY_DELAY, |_| Micros::ZERO)
            }
            Some(since) => {
                let sent_at = agent.now();
                let wait = match std::mem::take(&mut skips_wait) {
                    true => Duration::ZERO,
                    false => POLL_WAIT,
                };
                let changes = client.changes(since, wait).await;
                let now = agent.now();
                let mut state = agent.state();
                match changes {
                    Ok(changes) => {
                        let stores = &mut state.stores;
                        let is_complete = stores.record_changes(store, &changes, sent_at, now);
                        next = is_complete.then_some(changes.next);
                        if is_complete {
                            POLL_DELAY
                        } else {
                            Micros::ZERO
                        }
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
