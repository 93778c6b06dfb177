//! Step-by-step simulation of engines, fronts and a store, for tests.

use {
    pitchhitch_core::{
        serving::{
            FetchCompletion, KnownWeights, KvStore, KvStoreView, PartId, ReclaimState, SwapPlanner,
        },
        time::Micros,
    },
    std::net::SocketAddr,
};

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn engine_address(index: usize) -> SocketAddr {
    ([10, 0, 0, 1], index as u16 + 1).into()
}

fn known_weights(version: u64) -> KnownWeights {
    let mut weights = KnownWeights::default();
    weights.set_version("m", version);
    weights
}

/// Duration of a simulation step, in milliseconds.
const STEP_MS: u64 = 50;
/// Duration of a simulation: covers both weight publications and the longest pause after them.
pub const SIM_MS: u64 = 60_000;
/// Time on the engines' clock at the start of the simulation.
const CLOCK_MS: u64 = 5_000_000;
/// Interval of the reports of an engine, and interval at which a front polls the store and the
/// published weights.
const REPORT_MS: u64 = 250;
const POLL_MS: u64 = 300;
pub const ENGINES: usize = 2;
pub const FRONTS: usize = 2;
/// Parts that may still be fetched for 6.4 to 14 s after their weights were replaced.
pub const PARTS: [&str; 4] = ["aa", "bb", "c1", "17"];

/// Event of the simulation.
#[derive(Debug, Clone)]
pub enum SimEvent {
    /// A newer weight version is published.
    PublishWeights,
    /// A front requests an engine to fetch a part; the fetch starts after `estimate_ms` and reads
    /// for `need_ms`.
    Fetch {
        front: usize,
        engine: usize,
        part: usize,
        wait_ms: u64,
        need_ms: u64,
    },
    /// A front closes its connections; paused engines do not detect this.
    Cancel { front: usize },
    /// An engine and its reports are paused.
    PauseEngine { engine: usize, for_ms: u64 },
    /// Only the reports of an engine are paused.
    PauseReports { engine: usize, for_ms: u64 },
    /// An engine restarts with the published weights.
    RestartEngine { engine: usize },
    /// An engine is ordered to load the published weights.
    Load { engine: usize },
    /// A front is paused.
    PauseFront { front: usize, for_ms: u64 },
    /// A front restarts without any state.
    RestartFront { front: usize },
}

#[derive(Debug, Clone)]
pub struct Fetch {
    front: usize,
    version: u64,
    part: usize,
    until_ms: u64,
    wait_ms: u64,
    need_ms: u64,
    is_begun: bool,
}

#[derive(Debug, Clone, Default)]
struct SimEngine {
    version: u64,
    is_loading: bool,
    paused_until: u64,
    reports_paused_until: u64,
    fetches: Vec<Fetch>,
}

impl SimEngine {
    /// Runs one step: a fetch that could not finish before its deadline, or whose weights are
    /// not loaded, is dropped instead of started; a started one continues.
    fn step(
        &mut self,
        clock_ms: u64,
        published: u64,
    ) {
        let (version, is_loading) = (self.version, self.is_loading);
        for fetch in &mut self.fetches {
            if fetch.is_begun {
                fetch.need_ms = fetch.need_ms.saturating_sub(STEP_MS);
            } else if fetch.wait_ms >= STEP_MS {
                fetch.wait_ms -= STEP_MS;
            } else {
                fetch.is_begun = clock_ms + fetch.need_ms <= fetch.until_ms;
                let is_refused = is_loading || fetch.version != version;
                if !fetch.is_begun || is_refused {
                    (fetch.is_begun, fetch.need_ms) = (true, 0);
                }
            }
        }
        self.fetches
            .retain(|fetch| fetch.need_ms > 0 || !fetch.is_begun);
        if self.is_loading && self.fetches.iter().all(|fetch| !fetch.is_begun) {
            (self.version, self.is_loading) = (published, false);
        }
    }
}

struct SimFront {
    planner: SwapPlanner,
    reads: FetchCompletion,
    known_weights: Vec<KnownWeights>,
    view: KvStoreView,
    proven_at: Option<Micros>,
    /// Reports not processed yet: engine index, weight version and engine clock.
    inbox: Vec<(usize, u64, u64)>,
    paused_until: u64,
}

impl SimFront {
    fn new(engines: &[SimEngine]) -> Self {
        SimFront {
            planner: SwapPlanner::default(),
            reads: FetchCompletion::default(),
            known_weights: engines
                .iter()
                .map(|engine| known_weights(engine.version))
                .collect(),
            view: KvStoreView::new(KvStore {
                name: "s".to_string(),
                address: ([10, 9, 0, 1], 1).into(),
                domain: "a".to_string(),
                capacity_tokens: 1_000,
                link_mbps: 130_000.0,
                first_ms: 6.0,
                is_managed: true,
                max_pending_calls: 12,
            }),
            proven_at: None,
            inbox: Vec::new(),
            paused_until: 0,
        }
    }

    fn poll(
        &mut self,
        published: u64,
        now: u64,
    ) {
        if published > 0 {
            self.planner
                .publish("m", published, self.proven_at, at(now));
        }
        self.proven_at = Some(at(now));
        let known_weights = self.known_weights.iter().enumerate();
        let engines = known_weights.map(|(index, weights)| (engine_address(index), weights));
        self.reads.update_engines(engines, at(now));
        // The reply was delayed by one poll interval.
        let sent_at = at(now.saturating_sub(POLL_MS));
        self.view
            .record_response(1, Some(CLOCK_MS + now - STEP_MS), sent_at, at(now));
    }
}

pub struct FleetSim {
    pub now: u64,
    published: u64,
    engines: Vec<SimEngine>,
    fronts: Vec<SimFront>,
    /// Weight version and part index of all freed parts.
    freed: Vec<(u64, usize)>,
}

impl FleetSim {
    pub fn new() -> Self {
        let engine = SimEngine {
            version: 1,
            ..SimEngine::default()
        };
        let engines = vec![engine; ENGINES];
        let fronts = (0..FRONTS).map(|_| SimFront::new(&engines)).collect();
        FleetSim {
            now: STEP_MS,
            published: 1,
            engines,
            fronts,
            freed: Vec::new(),
        }
    }

    pub fn apply_event(
        &mut self,
        event: &SimEvent,
    ) {
        let now = self.now;
        match event {
            SimEvent::PublishWeights => self.published += 1,
            SimEvent::Fetch {
                front,
                engine,
                part,
                wait_ms,
                need_ms,
            } => {
                let target = &self.fronts[*front];
                let version = self.engines[*engine].version;
                let id = PartId::parse(PARTS[*part]).expect("hex");
                let planner = &target.planner;
                let may = planner.may_fetch("m", version, id, target.proven_at, at(now));
                let until = target.view.fetch_until_ms(at(now));
                if let Some(until_ms) = until.filter(|_| may && target.paused_until <= now) {
                    self.engines[*engine].fetches.push(Fetch {
                        front: *front,
                        version,
                        part: *part,
                        until_ms,
                        wait_ms: *wait_ms,
                        need_ms: *need_ms,
                        is_begun: false,
                    });
                }
            }
            SimEvent::Cancel { front } => {
                for target in self.engines.iter_mut().filter(|e| e.paused_until <= now) {
                    target.fetches.retain(|fetch| fetch.front != *front);
                }
            }
            SimEvent::PauseEngine { engine, for_ms } => {
                let target = &mut self.engines[*engine];
                target.paused_until = target.paused_until.max(now + for_ms);
            }
            SimEvent::PauseReports { engine, for_ms } => {
                let target = &mut self.engines[*engine];
                target.reports_paused_until = target.reports_paused_until.max(now + for_ms);
            }
            SimEvent::RestartEngine { engine } => {
                self.engines[*engine] = SimEngine {
                    version: self.published,
                    ..SimEngine::default()
                };
            }
            SimEvent::Load { engine } => {
                let target = &mut self.engines[*engine];
                target.is_loading = target.version < self.published && target.paused_until <= now;
            }
            SimEvent::PauseFront { front, for_ms } => {
                let target = &mut self.fronts[*front];
                target.paused_until = target.paused_until.max(now + for_ms);
            }
            SimEvent::RestartFront { front } => {
                self.fronts[*front] = SimFront::new(&self.engines);
            }
        }
    }

    pub fn step(&mut self) {
        let (now, published) = (self.now, self.published);
        for (index, engine) in self.engines.iter_mut().enumerate() {
            if engine.paused_until > now {
                continue;
            }
            engine.step(CLOCK_MS + now, published);
            if engine.reports_paused_until <= now && now % REPORT_MS == 0 {
                for front in &mut self.fronts {
                    front.inbox.push((index, engine.version, CLOCK_MS + now));
                }
            }
        }
        for front in &mut self.fronts {
            if front.paused_until > now {
                continue;
            }
            for (index, version, clock_ms) in front.inbox.drain(..) {
                front.known_weights[index].set_version("m", version);
                front
                    .reads
                    .record_report(engine_address(index), Some(clock_ms), at(now));
            }
            if now % POLL_MS == 0 {
                front.poll(published, now);
                let freed = freed_parts(front, published, now);
                self.freed.extend(freed);
            }
        }
        self.freed.sort_unstable();
        self.freed.dedup();
        self.now += STEP_MS;
    }

    /// Returns a fetch that reads, or could still read, a part that has been freed.
    pub fn unsafe_fetch(&self) -> Option<&Fetch> {
        let clock_ms = CLOCK_MS + self.now;
        let mut fetches = self.engines.iter().flat_map(|engine| &engine.fetches);
        fetches.find(|fetch| {
            let reads = fetch.is_begun || clock_ms + fetch.need_ms <= fetch.until_ms;
            reads && self.freed.contains(&(fetch.version, fetch.part))
        })
    }
}

/// Returns the parts that a front frees: weight version and part index.
fn freed_parts(
    front: &SimFront,
    published: u64,
    now: u64,
) -> Vec<(u64, usize)> {
    let clock_ms = front.view.max_clock_ms(at(now));
    let mut freed = Vec::new();
    for version in 1..published {
        let over_ms = front.reads.completed_until_ms("m", version);
        for (index, part) in PARTS.iter().enumerate() {
            let id = PartId::parse(part).expect("hex");
            let planner = &front.planner;
            let reclaim_state = planner.reclaim_state("m", version, id, over_ms, clock_ms, at(now));
            if reclaim_state == ReclaimState::Reclaimable {
                freed.push((version, index));
            }
        }
    }
    freed
}
