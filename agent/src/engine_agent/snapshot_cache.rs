use {
    super::EngineAgentContext,
    pitchhitch_core::{serving::EndpointNotice, time::Micros},
    pitchhitch_process::to_duration,
    pitchhitch_wire::engine_agent::{fetch_snapshot, FrontGreeting, StateSnapshot, STATE_PATH},
    smol::Timer,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Interval of checks whether the copy is outdated: snapshots change a few times a minute, and the
/// copy is needed only if all fronts restart.
const REFRESH_INTERVAL: Micros = Micros::from_millis(1_000);
/// Timeout of a request to a front.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a front's offer of its snapshot is valid.
const OFFER_TTL: Micros = Micros::from_millis(2_000);
/// Maximum age difference at which an offer from the same failure domain is preferred to one with a
/// newer store read: traffic between domains costs more.
const SAME_DOMAIN_BONUS: Micros = Micros::from_millis(300);

/// A front's offer to serve its state snapshot.
#[derive(Debug, Clone, Copy)]
struct SnapshotOffer {
    front: SocketAddr,
    content_hash: u64,
    received_at: Micros,
    /// Time of the platform store read that the snapshot is based on; a greeting of unknown age
    /// counts as just sent.
    read_at: Micros,
    is_same_domain: bool,
}

impl SnapshotOffer {
    /// Whether this offer replaces another one: it is from the same front, or based on a store read
    /// that is not older. A front that cannot read the store only has snapshots of others.
    fn replaces(
        &self,
        current: &SnapshotOffer,
    ) -> bool {
        self.front == current.front || self.adjusted_read_at() >= current.adjusted_read_at()
    }

    fn adjusted_read_at(&self) -> Micros {
        match self.is_same_domain {
            true => self.read_at + SAME_DOMAIN_BONUS,
            false => self.read_at,
        }
    }
}

/// Copy of a front's state snapshot, for fronts that start while the platform store is unreachable
/// and no other front is running.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCache {
    offer: Option<SnapshotOffer>,
    cached: Option<CachedSnapshot>,
    /// List entry of this agent's engine in the latest snapshot that contained it.
    own_endpoint: Option<EndpointNotice>,
}

/// Snapshot that was fetched from a front.
#[derive(Debug)]
struct CachedSnapshot {
    snapshot: StateSnapshot,
    content_hash: u64,
    /// Lower bound of the time to which the ages in the snapshot refer.
    aged_at: Micros,
    /// When the snapshot was received.
    received_at: Micros,
}

impl CachedSnapshot {
    /// Records that the same content was still the newest `age` ago.
    fn confirm_age(
        &mut self,
        age: Micros,
        now: Micros,
    ) {
        let passed = now.since(self.aged_at);
        if age < self.snapshot.age + passed {
            self.snapshot.add_age(passed);
            self.snapshot.age = age;
            self.aged_at = now;
        }
    }
}

impl SnapshotCache {
    /// Records a front's offer of its snapshot, which was sent at most `sent_age` ago, if that is
    /// known.
    pub fn record_offer(
        &mut self,
        greeting: &FrontGreeting,
        sent_age: Option<Micros>,
        from: SocketAddr,
        domain: &str,
        now: Micros,
    ) {
        let Some((content_hash, age)) = greeting.state else {
            return;
        };
        let offer = SnapshotOffer {
            front: from,
            content_hash,
            received_at: now,
            read_at: now.since(age + sent_age.unwrap_or_default()),
            is_same_domain: greeting.domain == domain,
        };
        let same = self
            .cached
            .as_mut()
            .filter(|cached| cached.content_hash == content_hash);
        if let (Some(cached), Some(sent_age)) = (same, sent_age) {
            cached.confirm_age(age + sent_age, now);
        }
        let current = self.offer.filter(|o| now.since(o.received_at) < OFFER_TTL);
        if current.is_none_or(|current| offer.replaces(&current)) {
            self.offer = Some(offer);
        }
    }

    /// Front from which to fetch a snapshot, if the copy is outdated.
    fn fetch_source(
        &self,
        now: Micros,
    ) -> Option<SocketAddr> {
        let offer = self.offer?;
        let is_fresh = now.since(offer.received_at) < OFFER_TTL;
        let is_current = self
            .cached
            .as_ref()
            .is_some_and(|c| c.content_hash == offer.content_hash);
        (is_fresh && !is_current).then_some(offer.front)
    }

    /// Stores a snapshot unless the current copy has a newer configuration or newer weights: a
    /// front that has just started may have read outdated rows. Returns whether it was stored.
    fn store(
        &mut self,
        snapshot: StateSnapshot,
        is_own: impl Fn(&EndpointNotice) -> bool,
        sent_at: Micros,
        now: Micros,
    ) -> bool {
        let is_older = |cached: &CachedSnapshot| snapshot.is_older_than(&cached.snapshot);
        let is_accepted = !self.cached.as_ref().is_some_and(is_older);
        if is_accepted {
            let endpoint = snapshot.endpoints.iter().find(|endpoint| is_own(endpoint));
            self.own_endpoint = endpoint.cloned().or(self.own_endpoint.take());
            let content_hash = snapshot.content_hash();
            self.cached = Some(CachedSnapshot {
                snapshot,
                content_hash,
                aged_at: sent_at,
                received_at: now,
            });
        }
        is_accepted
    }

    /// List entry of this agent's engine in the latest snapshot that contained it, unless that
    /// entry has another id or is marked as leaving. Snapshots of a front that started while this
    /// box was paused don't contain the engine.
    pub fn own_endpoint(
        &self,
        id: &str,
    ) -> Option<&EndpointNotice> {
        self.own_endpoint
            .as_ref()
            .filter(|endpoint| endpoint.id == id && !endpoint.is_leaving)
    }

    /// Copy with its ages and uptimes as of now.
    fn snapshot_at(
        &self,
        now: Micros,
    ) -> Option<StateSnapshot> {
        let cached = self.cached.as_ref()?;
        let mut snapshot = cached.snapshot.clone();
        snapshot.add_age(now.since(cached.aged_at));
        snapshot.add_store_uptime(now.since(cached.received_at));
        Some(snapshot)
    }
}

/// Refreshes the copy from the fronts' snapshots.
pub(crate) async fn refresh_snapshot(agent: Rc<EngineAgentContext>) {
    loop {
        Timer::after(to_duration(REFRESH_INTERVAL)).await;
        let source = agent.state().snapshot_cache.fetch_source(agent.now());
        if let Some(front) = source {
            fetch_from(&agent, front).await;
        }
    }
}

async fn fetch_from(
    agent: &EngineAgentContext,
    front: SocketAddr,
) {
    let sent_at = agent.now();
    let key = agent.settings.peer_key.as_ref();
    let Some(response) = fetch_snapshot(front, FETCH_TIMEOUT, key).await else {
        return;
    };
    let address = front.to_string();
    match response.snapshot {
        Ok(snapshot) => {
            let version = snapshot.version;
            let taken = store_snapshot(agent, snapshot, sent_at);
            log::info!(
                event = "state-kept",
                front = address.as_str(),
                version = version,
                taken = taken,
                bytes = response.bytes;
                ""
            );
        }
        Err(error) => {
            let error = error.to_string();
            log::warn!(event = "state-refused", front = address.as_str(), error = error.as_str(); "");
        }
    }
}

fn store_snapshot(
    agent: &EngineAgentContext,
    snapshot: StateSnapshot,
    sent_at: Micros,
) -> bool {
    let mut state = agent.state();
    let id = state.engine_id.clone();
    let address = Some(agent.settings.engine);
    let is_own = |endpoint: &EndpointNotice| {
        Some(&endpoint.id) == id.as_ref() && endpoint.address == address
    };
    state
        .snapshot_cache
        .store(snapshot, is_own, sent_at, agent.now())
}

/// Serves the copy to a front that requests it.
pub(crate) fn serve_snapshot(
    agent: &EngineAgentContext,
    target: &str,
) -> (u16, Vec<u8>) {
    let snapshot = agent.state().snapshot_cache.snapshot_at(agent.now());
    let snapshot = snapshot.filter(|_| target == STATE_PATH);
    let sealed = snapshot.map(|snapshot| snapshot.seal(agent.settings.peer_key.as_ref()));
    match sealed {
        Some(Ok(bytes)) => {
            agent.state().metrics.increment("states", "told");
            (200, bytes)
        }
        // Sealing does not fail for a snapshot that was decoded from bytes.
        Some(Err(_)) | None => (503, Vec::new()),
    }
}
