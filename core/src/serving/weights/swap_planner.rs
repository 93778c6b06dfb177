use {
    super::{load_pace::LoadPace, publication_records::PublicationRecord},
    crate::serving::{EndpointEntry, EndpointKey, EndpointRegistry},
    crate::time::Micros,
    std::collections::BTreeMap,
};

/// Minimum number of engines of a service that may load at once; more would slow each other down.
const MIN_CONCURRENT_LOADS: usize = 2;
/// Engines of a service per concurrent load.
const ENGINES_PER_LOAD: usize = 5;
/// Factor on the concurrent loads once the old weights have expired: such engines serve nothing, so
/// their loads delay no requests. Engines that resume together with old weights all have newer ones
/// sooner, as none has to wait for the report that another has finished.
const OVERDUE_LOAD_FACTOR: usize = 2;
/// Minimum number of engines that finish their long requests while others load, and the number of
/// concurrent loads per such engine. An engine that is ordered to load accepts nothing until its
/// requests have ended.
const MIN_CONCURRENT_DRAINS: usize = 2;
const LOADS_PER_DRAIN: usize = 3;
/// Time after which an engine is ordered to load although its long requests have not ended.
const DRAIN_TIMEOUT: Micros = Micros::from_millis(1_600);
/// Requests that an engine may still run when it is ordered to load.
const MAX_RUNNING_AT_LOAD: u32 = 2;
/// Time after the order to load after which an engine that does not report a load loses its turn.
const TURN_TIMEOUT: Micros = Micros::from_secs(7);
/// The same for an engine that reports a load: it takes up what other loads need, however slow it is.
const LOAD_TIMEOUT: Micros = Micros::from_secs(30);

/// Published weights, and the engines whose turn it is to load them.
#[derive(Debug, Clone, Default)]
pub struct SwapPlanner {
    pub(in crate::serving) published: BTreeMap<String, u64>,
    pub(in crate::serving) publications: BTreeMap<(String, u64), PublicationRecord>,
    /// Weights that engines had before this box read of their publication, and since when.
    pub(in crate::serving) unpublished: BTreeMap<(String, u64), Micros>,
    turns: BTreeMap<EndpointKey, SwapTurn>,
    missed_turns: BTreeMap<EndpointKey, u32>,
    /// How long loads take, by service.
    load_paces: BTreeMap<String, LoadPace>,
}

/// An engine's turn to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapTurn {
    /// Model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Version that the engine had when the turn or its latest load began.
    pub replaced: Option<u64>,
    /// Start of the turn or, once the engine has been ordered to load, of the load.
    pub since: Micros,
    /// Whether the engine is ordered to load now.
    pub is_loading: bool,
    /// Engines of the service that were loading when this load began, this one included.
    pub concurrent: usize,
}

/// Sort key of a turn: turns missed, whether the engine is unlisted, its version, its id.
type TurnRank = (u32, bool, u64, String);

/// Stage of an engine on its way to the published weights.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SwapStage {
    /// It has the published weights, or it is not its turn yet.
    #[default]
    Idle,
    /// It receives no more long requests.
    Draining,
    /// It is loading and accepts nothing.
    Loading,
}

/// What has become of a turn.
enum TurnOutcome {
    /// The engine drains or loads.
    Pending,
    /// The engine has the published weights, or newer ones than before and others come first.
    Loaded,
    /// The engine has loaded this version, but a newer one has been published meanwhile. It loads
    /// again at once: it runs nothing and keeps nothing yet, while another engine has to be drained.
    Replaced(u64),
    /// The engine has not loaded in time.
    Missed,
    /// The engine is gone or does not report.
    Away,
}

impl SwapPlanner {
    /// Turn of an engine, if it has one.
    pub fn turn(
        &self,
        key: EndpointKey,
    ) -> Option<&SwapTurn> {
        self.turns.get(&key)
    }

    /// Stage of an engine.
    pub fn stage(
        &self,
        key: EndpointKey,
    ) -> SwapStage {
        match self.turns.get(&key) {
            None => SwapStage::Idle,
            Some(turn) if turn.is_loading => SwapStage::Loading,
            Some(_) => SwapStage::Draining,
        }
    }

    /// Updates the turns and returns those of engines that are ordered to load now. `limit` is the
    /// time for which requests may begin on weights after newer ones are published.
    pub fn plan(
        &mut self,
        registry: &EndpointRegistry,
        limit: Micros,
        now: Micros,
    ) -> Vec<(EndpointKey, SwapTurn)> {
        for turn in self.turns.values_mut() {
            // Newer weights replace those that the turn was given for.
            turn.version = self
                .published
                .get(&turn.model)
                .copied()
                .unwrap_or(turn.version);
        }
        let mut started = Vec::new();
        self.end_turns(registry, limit, now, &mut started);
        while let Some((key, turn)) = self.next_turn(registry, limit, now) {
            self.turns.insert(key, turn);
        }
        self.start_loads(registry, limit, now, &mut started);
        started
    }

    /// Number of engines of the service of `entry` that may load concurrently.
    fn load_limit(
        &self,
        registry: &EndpointRegistry,
        entry: &EndpointEntry,
        model: &str,
        limit: Micros,
        now: Micros,
    ) -> usize {
        let loads = service_load_limit(registry, &entry.service, now);
        let bounds = self.bounds(model, limit, now);
        let loads = match bounds.allows(entry.weights.version(model)) {
            true => loads,
            false => loads * OVERDUE_LOAD_FACTOR,
        };
        let pace = self.load_paces.get(&entry.service);
        let max_loads = pace.map_or(loads, |pace| pace.max_loads(limit));
        loads.min(max_loads).max(MIN_CONCURRENT_LOADS)
    }

    /// Starts the loads of engines that run few requests or have had [`DRAIN_TIMEOUT`] to finish
    /// them.
    fn start_loads(
        &mut self,
        registry: &EndpointRegistry,
        limit: Micros,
        now: Micros,
        started: &mut Vec<(EndpointKey, SwapTurn)>,
    ) {
        let service = |key: EndpointKey| registry.get(key).map(|entry| entry.service.as_str());
        let mut loading: Vec<EndpointKey> = Vec::new();
        let mut waiting: Vec<(TurnRank, EndpointKey)> = Vec::new();
        for (key, turn) in &self.turns {
            match (turn.is_loading, registry.get(*key)) {
                (true, _) => loading.push(*key),
                (false, Some(entry)) => waiting.push((self.rank(*key, entry, turn), *key)),
                (false, None) => {}
            }
        }
        waiting.sort();
        for (_, key) in waiting {
            let others = loading
                .iter()
                .filter(|other| service(**other) == service(key));
            let running = registry.get(key).map_or(0, |entry| entry.occupied(now));
            let count = others.count();
            let (Some(entry), Some(turn)) = (registry.get(key), self.turns.get(&key)) else {
                continue;
            };
            let max_loads = self.load_limit(registry, entry, &turn.model, limit, now);
            let Some(turn) = self.turns.get_mut(&key) else {
                continue;
            };
            let is_drained =
                running <= MAX_RUNNING_AT_LOAD || now.since(turn.since) >= DRAIN_TIMEOUT;
            if count < max_loads && is_drained {
                turn.is_loading = true;
                turn.since = now;
                turn.concurrent = count + 1;
                loading.push(key);
                started.push((key, turn.clone()));
            }
        }
    }

    /// Order of turns, the same at all boxes: engines that missed a turn come last, unlisted ones
    /// after listed ones, and those with the oldest weights first, as these expire first.
    fn rank(
        &self,
        key: EndpointKey,
        entry: &EndpointEntry,
        turn: &SwapTurn,
    ) -> TurnRank {
        let missed_turns = self.missed_turns.get(&key).copied().unwrap_or(0);
        let version = entry.weights.version(&turn.model).unwrap_or(0);
        (missed_turns, !entry.is_listed(), version, entry.id.clone())
    }

    fn outdated_model(
        &self,
        entry: &EndpointEntry,
    ) -> Option<(String, u64)> {
        let mut published = self.published.iter();
        let outdated = published.find(|(model, version)| {
            entry
                .weights
                .version(model)
                .is_some_and(|known| known < **version)
        });
        outdated.map(|(model, version)| (model.clone(), *version))
    }

    /// Ends the turns of engines that have loaded or failed to, and repeats the loads of weights that
    /// were replaced meanwhile.
    fn end_turns(
        &mut self,
        registry: &EndpointRegistry,
        limit: Micros,
        now: Micros,
        started: &mut Vec<(EndpointKey, SwapTurn)>,
    ) {
        let keys: Vec<EndpointKey> = self.turns.keys().copied().collect();
        for key in keys {
            let outcome = self.turn_outcome(registry, key, limit, now);
            let turn = self.turns.get(&key).filter(|turn| turn.is_loading).cloned();
            let is_loaded = matches!(outcome, TurnOutcome::Loaded | TurnOutcome::Replaced(_));
            let loaded_turn = turn.filter(|_| is_loaded);
            if let (Some(entry), Some(turn)) = (registry.get(key), loaded_turn) {
                self.record_load(registry, entry, &turn, now);
                if let TurnOutcome::Replaced(loaded) = outcome {
                    let repeated = SwapTurn {
                        replaced: Some(loaded),
                        since: now,
                        concurrent: self.loading_count(registry, &entry.service),
                        ..turn
                    };
                    started.push((key, repeated.clone()));
                    self.turns.insert(key, repeated);
                }
            }
            match outcome {
                TurnOutcome::Pending | TurnOutcome::Replaced(_) => continue,
                TurnOutcome::Away => {}
                TurnOutcome::Loaded => drop(self.missed_turns.remove(&key)),
                TurnOutcome::Missed => *self.missed_turns.entry(key).or_default() += 1,
            }
            self.turns.remove(&key);
        }
        self.missed_turns
            .retain(|key, _| registry.get(*key).is_some());
    }

    fn record_load(
        &mut self,
        registry: &EndpointRegistry,
        entry: &EndpointEntry,
        turn: &SwapTurn,
        now: Micros,
    ) {
        let took = now.since(turn.since);
        let at_end = self.loading_count(registry, &entry.service);
        self.load_paces
            .entry(entry.service.clone())
            .and_modify(|pace| pace.record_load(took, turn.concurrent, at_end))
            .or_insert(LoadPace::new(took, turn.concurrent, at_end));
    }

    /// Number of engines of a service that are loading.
    fn loading_count(
        &self,
        registry: &EndpointRegistry,
        service: &str,
    ) -> usize {
        let loading = self.turns.iter().filter(|(_, turn)| turn.is_loading);
        let entries = loading.filter_map(|(key, _)| registry.get(*key));
        entries.filter(|entry| entry.service == service).count()
    }

    fn turn_outcome(
        &self,
        registry: &EndpointRegistry,
        key: EndpointKey,
        limit: Micros,
        now: Micros,
    ) -> TurnOutcome {
        let entry = registry.get(key).filter(|e| counts_for_swap(e, now));
        let (Some(entry), Some(turn)) = (entry, self.turns.get(&key)) else {
            return TurnOutcome::Away;
        };
        let loaded = entry.weights.version(&turn.model);
        if loaded.is_some_and(|loaded| loaded >= turn.version) {
            return TurnOutcome::Loaded;
        }
        if let Some(loaded) = loaded.filter(|_| turn.is_loading && loaded > turn.replaced) {
            return match self.delays_expiring(registry, entry, turn, limit, now) {
                true => TurnOutcome::Loaded,
                false => TurnOutcome::Replaced(loaded),
            };
        }
        let reports_load = entry.fresh_load(now).is_some_and(|load| load.is_swapping);
        let timeout = match reports_load {
            true => LOAD_TIMEOUT,
            false => TURN_TIMEOUT,
        };
        match turn.is_loading && now.since(turn.since) > timeout {
            true => TurnOutcome::Missed,
            false => TurnOutcome::Pending,
        }
    }

    /// Whether the weights of an engine that waits for its load expire while the engine of `entry`
    /// loads again, if that takes as long as the load that has just ended.
    fn delays_expiring(
        &self,
        registry: &EndpointRegistry,
        entry: &EndpointEntry,
        turn: &SwapTurn,
        limit: Micros,
        now: Micros,
    ) -> bool {
        let loaded_again_at = now + now.since(turn.since);
        let bounds = self.bounds(&turn.model, limit, loaded_again_at);
        let waits = |(key, other): &(EndpointKey, &EndpointEntry)| {
            other.service == entry.service
                && counts_for_swap(other, now)
                && self.stage(*key) != SwapStage::Loading
        };
        let mut waiting = registry.iter().filter(waits);
        waiting.any(|(_, other)| !bounds.allows(other.weights.version(&turn.model)))
    }

    /// The engine that is next in turn.
    fn next_turn(
        &self,
        registry: &EndpointRegistry,
        limit: Micros,
        now: Micros,
    ) -> Option<(EndpointKey, SwapTurn)> {
        // An engine that reports may also load if its entry has disappeared: otherwise an engine
        // whose box had been paused used outdated weights until it was listed again.
        let waits = |(key, entry): &(EndpointKey, &EndpointEntry)| {
            has_fresh_report(entry, now) && entry.may_be_present() && !self.turns.contains_key(key)
        };
        let mut next: Option<(TurnRank, EndpointKey, SwapTurn)> = None;
        for (key, entry) in registry.iter().filter(waits) {
            let Some((model, version)) = self.outdated_model(entry) else {
                continue;
            };
            let in_service = |other: &&EndpointKey| {
                registry
                    .get(**other)
                    .is_some_and(|other| other.service == entry.service)
            };
            let loads = self.load_limit(registry, entry, &model, limit, now);
            let max_turns = loads + MIN_CONCURRENT_DRAINS.max(loads / LOADS_PER_DRAIN);
            if self.turns.keys().filter(in_service).count() >= max_turns {
                continue;
            }
            let turn = SwapTurn {
                replaced: entry.weights.version(&model),
                model,
                version,
                since: now,
                is_loading: false,
                concurrent: 0,
            };
            let rank = self.rank(key, entry, &turn);
            if next.as_ref().is_none_or(|(least, ..)| rank < *least) {
                next = Some((rank, key, turn));
            }
        }
        next.map(|(_, key, turn)| (key, turn))
    }
}

fn service_load_limit(
    registry: &EndpointRegistry,
    service: &str,
    now: Micros,
) -> usize {
    let serves = |entry: &&EndpointEntry| entry.service == service && counts_for_swap(entry, now);
    let engines = registry
        .iter()
        .map(|(_, entry)| entry)
        .filter(serves)
        .count();
    MIN_CONCURRENT_LOADS.max(engines / ENGINES_PER_LOAD)
}

/// Whether an endpoint takes part in the swap. An unlisted one does only if it reports: otherwise
/// it may have exited, and its turn would block other engines.
fn counts_for_swap(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    entry.is_listed() || (entry.may_be_present() && has_fresh_report(entry, now))
}

fn has_fresh_report(
    entry: &EndpointEntry,
    now: Micros,
) -> bool {
    entry.fresh_load(now).is_some_and(|load| !load.is_silent)
}
