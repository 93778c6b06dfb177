//! A small world of engines, fronts and a store, step by step, for tests.

use {
    pitchhitch_core::{
        serving::{
            FetchCompletion, KnownWeights, KvStore, PartFate, PartId, StoreView, SwapPlanner,
        },
        time::Micros,
    },
    std::net::SocketAddr,
};

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn engine(place: usize) -> SocketAddr {
    ([10, 0, 0, 1], place as u16 + 1).into()
}

fn belief(version: u64) -> KnownWeights {
    let mut belief = KnownWeights::default();
    belief.set_version("m", version);
    belief
}

/// Length of a step of the small world, in milliseconds.
const STEP_MS: u64 = 50;
/// Time that it lasts: both namings and the longest standstill behind them.
pub const WORLD_MS: u64 = 60_000;
/// The engines' clock when it begins.
const CLOCK_MS: u64 = 5_000_000;
/// Time between two reports of an engine, between two looks of a front, and between
/// two readings of what is named.
const REPORT_MS: u64 = 250;
const LOOK_MS: u64 = 300;
pub const ENGINES: usize = 2;
pub const FRONTS: usize = 2;
/// Parts that are fetched for 6.4 to 14 s after their weights were replaced.
pub const PARTS: [&str; 4] = ["aa", "bb", "c1", "17"];

/// What happens to the small world, besides the passing of time.
#[derive(Debug, Clone)]
pub enum Happening {
    /// Newer weights are named.
    Name,
    /// A front tells an engine to fetch a part; the fetch begins after a wait.
    Fetch {
        front: usize,
        engine: usize,
        part: usize,
        wait_ms: u64,
        need_ms: u64,
    },
    /// The front closes its connections; who stands still does not see that.
    Cancel { front: usize },
    /// An engine and what reports of it stand still.
    StillEngine { engine: usize, for_ms: u64 },
    /// Only what reports of it does.
    StillReports { engine: usize, for_ms: u64 },
    /// It starts again.
    NewEngine { engine: usize },
    /// It is told to load what is named.
    Load { engine: usize },
    /// A front stands still.
    StillFront { front: usize, for_ms: u64 },
    /// A front starts again, and knows nothing.
    NewFront { front: usize },
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
struct SmallEngine {
    version: u64,
    loads: bool,
    still_until: u64,
    mute_until: u64,
    fetches: Vec<Fetch>,
}

impl SmallEngine {
    /// What it does in one step: a fetch that begins too late is thrown away, one that
    /// has begun goes on.
    fn step(
        &mut self,
        clock_ms: u64,
        named: u64,
    ) {
        let (version, loads) = (self.version, self.loads);
        for fetch in &mut self.fetches {
            if fetch.is_begun {
                fetch.need_ms = fetch.need_ms.saturating_sub(STEP_MS);
            } else if fetch.wait_ms >= STEP_MS {
                fetch.wait_ms -= STEP_MS;
            } else {
                fetch.is_begun = clock_ms + fetch.need_ms <= fetch.until_ms;
                let is_refused = loads || fetch.version != version;
                if !fetch.is_begun || is_refused {
                    (fetch.is_begun, fetch.need_ms) = (true, 0);
                }
            }
        }
        self.fetches
            .retain(|fetch| fetch.need_ms > 0 || !fetch.is_begun);
        if self.loads && self.fetches.iter().all(|fetch| !fetch.is_begun) {
            (self.version, self.loads) = (named, false);
        }
    }
}

struct SmallFront {
    planner: SwapPlanner,
    reads: FetchCompletion,
    beliefs: Vec<KnownWeights>,
    view: StoreView,
    proven_at: Option<Micros>,
    /// Reports on the way to it: engine, weights, clock.
    inbox: Vec<(usize, u64, u64)>,
    still_until: u64,
}

impl SmallFront {
    fn new(engines: &[SmallEngine]) -> Self {
        SmallFront {
            planner: SwapPlanner::default(),
            reads: FetchCompletion::default(),
            beliefs: engines.iter().map(|small| belief(small.version)).collect(),
            view: StoreView::new(KvStore {
                name: "s".to_string(),
                address: ([10, 9, 0, 1], 1).into(),
                domain: "a".to_string(),
                capacity_tokens: 1_000,
                link_mbps: 130_000.0,
                first_ms: 6.0,
                is_managed: true,
                held_calls: 12,
            }),
            proven_at: None,
            inbox: Vec::new(),
            still_until: 0,
        }
    }

    fn look(
        &mut self,
        named: u64,
        now: u64,
    ) {
        if named > 0 {
            self.planner.publish("m", named, self.proven_at, at(now));
        }
        self.proven_at = Some(at(now));
        let beliefs = self.beliefs.iter().enumerate();
        let engines = beliefs.map(|(place, belief)| (engine(place), belief));
        self.reads.update_engines(engines, at(now));
        // The answer lay on the way for one look.
        let sent_at = at(now.saturating_sub(LOOK_MS));
        self.view
            .record_answer(1, Some(CLOCK_MS + now - STEP_MS), sent_at, at(now));
    }
}

pub struct SmallWorld {
    pub now: u64,
    named: u64,
    engines: Vec<SmallEngine>,
    fronts: Vec<SmallFront>,
    /// Version and part of what has been freed.
    freed: Vec<(u64, usize)>,
}

impl SmallWorld {
    pub fn new() -> Self {
        let small = SmallEngine {
            version: 1,
            ..SmallEngine::default()
        };
        let engines = vec![small; ENGINES];
        let fronts = (0..FRONTS).map(|_| SmallFront::new(&engines)).collect();
        SmallWorld {
            now: STEP_MS,
            named: 1,
            engines,
            fronts,
            freed: Vec::new(),
        }
    }

    pub fn happen(
        &mut self,
        happening: &Happening,
    ) {
        let now = self.now;
        match happening {
            Happening::Name => self.named += 1,
            Happening::Fetch {
                front,
                engine,
                part,
                wait_ms,
                need_ms,
            } => {
                let small = &self.fronts[*front];
                let version = self.engines[*engine].version;
                let id = PartId::parse(PARTS[*part]).expect("hex");
                let planner = &small.planner;
                let may = planner.may_fetch("m", version, id, small.proven_at, at(now));
                let until = small.view.fetch_until_ms(at(now));
                if let Some(until_ms) = until.filter(|_| may && small.still_until <= now) {
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
            Happening::Cancel { front } => {
                for small in self.engines.iter_mut().filter(|e| e.still_until <= now) {
                    small.fetches.retain(|fetch| fetch.front != *front);
                }
            }
            Happening::StillEngine { engine, for_ms } => {
                let small = &mut self.engines[*engine];
                small.still_until = small.still_until.max(now + for_ms);
            }
            Happening::StillReports { engine, for_ms } => {
                let small = &mut self.engines[*engine];
                small.mute_until = small.mute_until.max(now + for_ms);
            }
            Happening::NewEngine { engine } => {
                self.engines[*engine] = SmallEngine {
                    version: self.named,
                    ..SmallEngine::default()
                };
            }
            Happening::Load { engine } => {
                let small = &mut self.engines[*engine];
                small.loads = small.version < self.named && small.still_until <= now;
            }
            Happening::StillFront { front, for_ms } => {
                let small = &mut self.fronts[*front];
                small.still_until = small.still_until.max(now + for_ms);
            }
            Happening::NewFront { front } => {
                self.fronts[*front] = SmallFront::new(&self.engines);
            }
        }
    }

    pub fn step(&mut self) {
        let (now, named) = (self.now, self.named);
        for (place, small) in self.engines.iter_mut().enumerate() {
            if small.still_until > now {
                continue;
            }
            small.step(CLOCK_MS + now, named);
            if small.mute_until <= now && now % REPORT_MS == 0 {
                for front in &mut self.fronts {
                    front.inbox.push((place, small.version, CLOCK_MS + now));
                }
            }
        }
        for front in &mut self.fronts {
            if front.still_until > now {
                continue;
            }
            for (place, version, clock_ms) in front.inbox.drain(..) {
                front.beliefs[place].set_version("m", version);
                front
                    .reads
                    .record_report(engine(place), Some(clock_ms), at(now));
            }
            if now % LOOK_MS == 0 {
                front.look(named, now);
                let freed = free_of(front, named, now);
                self.freed.extend(freed);
            }
        }
        self.freed.sort_unstable();
        self.freed.dedup();
        self.now += STEP_MS;
    }

    /// A fetch that reads a part which has been freed, or still can.
    pub fn bad_fetch(&self) -> Option<&Fetch> {
        let clock_ms = CLOCK_MS + self.now;
        let mut fetches = self.engines.iter().flat_map(|small| &small.fetches);
        fetches.find(|fetch| {
            let reads = fetch.is_begun || clock_ms + fetch.need_ms <= fetch.until_ms;
            reads && self.freed.contains(&(fetch.version, fetch.part))
        })
    }
}

/// What a front frees.
fn free_of(
    front: &SmallFront,
    named: u64,
    now: u64,
) -> Vec<(u64, usize)> {
    let clock_ms = front.view.latest_clock_ms(at(now));
    let mut freed = Vec::new();
    for version in 1..named {
        let over_ms = front.reads.completed_until_ms("m", version);
        for (place, part) in PARTS.iter().enumerate() {
            let id = PartId::parse(part).expect("hex");
            let planner = &front.planner;
            let fate = planner.reclaim_state("m", version, id, over_ms, clock_ms, at(now));
            if fate == PartFate::Over {
                freed.push((version, place));
            }
        }
    }
    freed
}
