use {
    super::BesideContext,
    pitchhitch_core::{serving::NamespaceTag, time::Micros},
    pitchhitch_platform::{KvChanges, KvClient, KvError},
    pitchhitch_process::to_duration,
    pitchhitch_wire::beside::{StoreNews, StorePart},
    smol::Timer,
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Time for which a store is read after a front last asked for it.
const ASKED_FOR: Micros = Micros::from_secs(6);
/// Stores that one process reads at most.
const STORES_LIMIT: usize = 16;
/// How often it is looked for new ones.
const LOOK_PAUSE: Micros = Micros::from_millis(200);
/// Time that a question for changes is held while there are none.
const HOLD: Duration = Duration::from_millis(500);
/// Pause between two questions.
const ASK_PAUSE: Micros = Micros::from_millis(200);
/// Pause after a question that failed.
const FAILED_PAUSE: Micros = Micros::from_millis(400);
/// Time limit of a question, beyond the time it is held.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Digests in which a change is told: some may get lost.
const TOLD_TIMES: u64 = 3;
/// Age of an answer up to which it is told.
const NEWS_LIFE: Micros = Micros::from_millis(1_500);
/// Changes of one store that are told at most.
const PARTS_LIMIT: usize = 400;

/// Stores of kept parts that are read for all fronts: each front by itself asked each store,
/// which at a hundred fronts was most of what the stores could hold.
#[derive(Debug, Default)]
pub(crate) struct StoreReads {
    asked: BTreeMap<SocketAddr, Micros>,
    read: BTreeMap<SocketAddr, ReadStore>,
}

/// What was read of one store.
#[derive(Debug)]
struct ReadStore {
    epoch: u64,
    clock_ms: Option<u64>,
    sent_at: Micros,
    answered_at: Micros,
    from: u64,
    next: u64,
    parts: VecDeque<(StorePart, Micros)>,
}

impl ReadStore {
    fn news(
        &self,
        store: SocketAddr,
        now: Micros,
    ) -> StoreNews {
        StoreNews {
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

    /// Drops what was told often enough, by digests with this pause.
    fn prune(
        &mut self,
        pause: Micros,
        now: Micros,
    ) {
        let told_for = Micros(pause.0 * TOLD_TIMES);
        let is_old = |(_, at): &(StorePart, Micros)| now.since(*at) > told_for;
        while self.parts.len() > PARTS_LIMIT || self.parts.front().is_some_and(is_old) {
            if let Some((part, _)) = self.parts.pop_front() {
                self.from = part.number;
            }
        }
    }
}

impl StoreReads {
    /// Takes that a front wants this store to be read.
    pub fn ask(
        &mut self,
        store: SocketAddr,
        now: Micros,
    ) {
        if self.asked.len() < STORES_LIMIT || self.asked.contains_key(&store) {
            self.asked.insert(store, now);
        }
    }

    /// What has been read lately, for digests with this pause.
    pub fn news(
        &mut self,
        pause: Micros,
        now: Micros,
    ) -> Vec<StoreNews> {
        let mut news = Vec::new();
        for (store, read) in &mut self.read {
            read.prune(pause, now);
            if now.since(read.answered_at) < NEWS_LIFE {
                news.push(read.news(*store, now));
            }
        }
        news
    }

    fn is_asked(
        &self,
        store: SocketAddr,
        now: Micros,
    ) -> bool {
        let asked_at = self.asked.get(&store);
        asked_at.is_some_and(|at| now.since(*at) < ASKED_FOR)
    }

    fn take(
        &mut self,
        store: SocketAddr,
        changes: &KvChanges,
        sent_at: Micros,
        now: Micros,
    ) {
        let known = self.read.remove(&store);
        let known = known.filter(|known| known.epoch == changes.epoch && !changes.has_gap);
        let mut read = known.unwrap_or(ReadStore {
            epoch: changes.epoch,
            clock_ms: None,
            sent_at,
            answered_at: now,
            // What came before is not known here: whoever lacks it asks the store.
            from: changes.next,
            next: changes.next,
            parts: VecDeque::new(),
        });
        let is_known = |number: u64| number <= read.next;
        let fresh = changes
            .changes
            .iter()
            .filter(|change| !is_known(change.number));
        let parts: Vec<StorePart> = fresh
            .map(|change| StorePart {
                number: change.number,
                wall: NamespaceTag::of(&change.salt),
                id: change.id,
                tokens: change.tokens,
            })
            .collect();
        read.parts.extend(parts.into_iter().map(|part| (part, now)));
        read.clock_ms = changes.clock_ms;
        read.sent_at = sent_at;
        read.answered_at = now;
        read.next = changes.next;
        self.read.insert(store, read);
    }

    fn forget(
        &mut self,
        store: SocketAddr,
    ) {
        self.read.remove(&store);
    }
}

/// Keeps a task for each store that fronts want to be read.
pub(crate) async fn read_stores(beside: Rc<BesideContext>) {
    let mut reading: BTreeMap<SocketAddr, ()> = BTreeMap::new();
    loop {
        Timer::after(to_duration(LOOK_PAUSE)).await;
        let now = beside.now();
        let asked: Vec<SocketAddr> = {
            let mut state = beside.state();
            let reads = &mut state.stores;
            reads.asked.retain(|_, at| now.since(*at) < ASKED_FOR);
            reads.asked.keys().copied().collect()
        };
        reading.retain(|store, ()| asked.contains(store));
        for store in asked {
            if reading.insert(store, ()).is_none() {
                let address = store.to_string();
                log::info!(event = "store-read", store = address.as_str(); "");
                beside.spawn(read_store(beside.clone(), store));
            }
        }
    }
}

async fn read_store(
    beside: Rc<BesideContext>,
    store: SocketAddr,
) {
    let mut client = KvClient::new(store, CALL_LIMIT);
    let mut next: Option<u64> = None;
    while beside.state().stores.is_asked(store, beside.now()) {
        let pause = match next {
            None => {
                next = client.list().await.map(|list| list.next);
                next.map_or(FAILED_PAUSE, |_| Micros::ZERO)
            }
            Some(since) => {
                let sent_at = beside.now();
                let changes = client.changes(since, HOLD).await;
                let now = beside.now();
                let mut state = beside.state();
                match changes {
                    Ok(changes) => {
                        state.stores.take(store, &changes, sent_at, now);
                        next = Some(changes.next);
                        ASK_PAUSE
                    }
                    Err(KvError::Busy) => FAILED_PAUSE,
                    Err(KvError::Unavailable) => {
                        state.stores.forget(store);
                        next = None;
                        FAILED_PAUSE
                    }
                }
            }
        };
        Timer::after(to_duration(pause)).await;
    }
    beside.state().stores.forget(store);
}
