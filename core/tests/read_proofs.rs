//! Parts are freed only once no engine that was told of them can still read them.

use {
    pitchhitch_core::{
        serving::{
            KvStore, PartFate, PartId, ReadProofs, StoreView, SwapPlanner, WeightBelief, AWAKE_GAP,
            HOLD_LIMIT,
        },
        time::Micros,
    },
    proptest::prelude::*,
    std::net::SocketAddr,
};

fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn engine(place: usize) -> SocketAddr {
    ([10, 0, 0, 1], place as u16 + 1).into()
}

fn belief(version: u64) -> WeightBelief {
    let mut belief = WeightBelief::default();
    belief.learn("m", version);
    belief
}

/// Reports of an engine from one time on the engines' clock to another.
fn hear(
    reads: &mut ReadProofs,
    place: usize,
    from_ms: u64,
    to_ms: u64,
) {
    for clock_ms in (from_ms..=to_ms).step_by(250) {
        reads.heard(engine(place), Some(clock_ms), at(clock_ms));
    }
}

#[test]
fn awake_engines_prove() {
    let mut reads = ReadProofs::default();
    assert_eq!(reads.over_until_ms("m", 1), u64::MAX, "there is nobody");
    hear(&mut reads, 0, 10_000, 12_500);
    assert_eq!(reads.over_until_ms("m", 1), 0, "it may just have woken");
    hear(&mut reads, 0, 12_750, 13_000);
    assert_eq!(reads.over_until_ms("m", 1), 13_000);
    hear(&mut reads, 1, 10_000, 11_000);
    assert_eq!(reads.over_until_ms("m", 1), 0, "each must prove it");
    assert_eq!(reads.last_proven("m", 1), vec![engine(1)]);
}

/// An engine that starts again may have older weights, and fetch for them.
#[test]
fn restart_proves_nothing() {
    let mut reads = ReadProofs::default();
    let beliefs = [belief(2), belief(1)];
    let engines = beliefs.iter().enumerate();
    reads.know(
        engines.map(|(place, belief)| (engine(place), belief)),
        at(0),
    );
    hear(&mut reads, 0, 10_000, 13_000);
    hear(&mut reads, 1, 10_000, 13_000);
    assert_eq!(
        reads.over_until_ms("m", 1),
        13_000,
        "the first has newer ones"
    );
    reads.restarted(engine(0), at(13_000));
    assert_eq!(reads.over_until_ms("m", 1), 0);
    hear(&mut reads, 0, 13_000, 15_000);
    assert_eq!(
        reads.over_until_ms("m", 1),
        0,
        "it has not been awake for long"
    );
    hear(&mut reads, 0, 15_250, 16_000);
    assert_eq!(
        reads.over_until_ms("m", 1),
        13_000,
        "the other has not proven more"
    );
}

/// A fetch that was under way when the engine stood still goes on when it wakes.
#[test]
fn gap_begins_anew() {
    let mut reads = ReadProofs::default();
    hear(&mut reads, 0, 10_000, 13_000);
    let woken = 13_000 + AWAKE_GAP.as_millis() + 1;
    hear(&mut reads, 0, woken, woken + 2_750);
    assert_eq!(reads.over_until_ms("m", 1), 13_000);
    hear(&mut reads, 0, woken + 3_000, woken + 3_000);
    assert_eq!(reads.over_until_ms("m", 1), woken + 3_000);
    // What lay on the way while the box stood still comes late and proves nothing.
    hear(&mut reads, 0, 11_000, 12_000);
    reads.heard(engine(0), None, at(1));
    assert_eq!(reads.over_until_ms("m", 1), woken + 3_000);
}

#[test]
fn newer_weights_excused() {
    let mut reads = ReadProofs::default();
    let mut know = |beliefs: &[WeightBelief], version: u64| {
        let engines = beliefs.iter().map(|belief| (engine(0), belief));
        reads.know(engines, at(0));
        reads.over_until_ms("m", version)
    };
    let unknown = WeightBelief::default();
    assert_eq!(
        know(std::slice::from_ref(&unknown), 1),
        0,
        "told who knows what"
    );
    assert_eq!(know(&[belief(2)], 1), u64::MAX);
    assert_eq!(know(&[belief(2)], 2), 0);
    // Two follow each other at an address: the one before may still fetch.
    assert_eq!(know(&[belief(2), belief(1)], 1), 0);
    assert_eq!(know(&[belief(2), unknown], 1), 0);
    reads.forget(engine(0));
    assert_eq!(reads.over_until_ms("m", 2), u64::MAX);
}

/// Engines that ended long ago must not hold parts up at each naming.
#[test]
fn ended_engines_forgotten() {
    let mut reads = ReadProofs::default();
    hear(&mut reads, 0, 10_000, 11_000);
    reads.prune(at(11_000) + HOLD_LIMIT);
    assert_eq!(reads.over_until_ms("m", 1), 0);
    reads.prune(at(11_001) + HOLD_LIMIT);
    assert_eq!(reads.over_until_ms("m", 1), u64::MAX);
}

/// Who is silent for good must not fill the stores for good; who does not know what
/// was told before its own time waits as long.
#[test]
fn held_a_minute() {
    let part = PartId::parse("aa").expect("hex");
    let fate = |not_yet: Option<Micros>, over_ms: u64, now: u64| {
        let mut planner = SwapPlanner::default();
        planner.name("m", 2, not_yet, at(1_000));
        planner.fate("m", 1, part, over_ms, Some(now), at(now))
    };
    let seen = Some(at(900));
    assert_eq!(fate(seen, u64::MAX, 9_000), PartFate::Fetched);
    assert_eq!(fate(seen, u64::MAX, 20_000), PartFate::Over);
    assert_eq!(fate(seen, 9_000, 20_000), PartFate::Held);
    assert_eq!(fate(None, u64::MAX, 20_000), PartFate::Held);
    for not_yet in [seen, None] {
        assert_eq!(fate(not_yet, 0, 60_000), PartFate::Held);
        assert_eq!(fate(not_yet, 0, 80_000), PartFate::Over);
    }
}

/// Length of a step of the small world below, in milliseconds.
const STEP_MS: u64 = 50;
/// Time that it lasts: both namings and the longest standstill behind them.
const WORLD_MS: u64 = 60_000;
/// The engines' clock when it begins.
const CLOCK_MS: u64 = 5_000_000;
/// Time between two reports of an engine, between two looks of a front, and between
/// two readings of what is named.
const REPORT_MS: u64 = 250;
const LOOK_MS: u64 = 300;
const ENGINES: usize = 2;
const FRONTS: usize = 2;
/// Parts that are fetched for 6.4 to 14 s after their weights were replaced.
const PARTS: [&str; 4] = ["aa", "bb", "c1", "17"];

/// What happens to the small world, besides the passing of time.
#[derive(Debug, Clone)]
enum Happening {
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
struct Fetch {
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
    reads: ReadProofs,
    beliefs: Vec<WeightBelief>,
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
            reads: ReadProofs::default(),
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
            self.planner.name("m", named, self.proven_at, at(now));
        }
        self.proven_at = Some(at(now));
        let beliefs = self.beliefs.iter().enumerate();
        let engines = beliefs.map(|(place, belief)| (engine(place), belief));
        self.reads.know(engines, at(now));
        // The answer lay on the way for one look.
        let sent_at = at(now.saturating_sub(LOOK_MS));
        self.view
            .answered(1, Some(CLOCK_MS + now - STEP_MS), sent_at, at(now));
    }
}

struct SmallWorld {
    now: u64,
    named: u64,
    engines: Vec<SmallEngine>,
    fronts: Vec<SmallFront>,
    /// Version and part of what has been freed.
    freed: Vec<(u64, usize)>,
}

impl SmallWorld {
    fn new() -> Self {
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

    fn happen(
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

    fn step(&mut self) {
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
                front.beliefs[place].learn("m", version);
                front.reads.heard(engine(place), Some(clock_ms), at(now));
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
    fn bad_fetch(&self) -> Option<&Fetch> {
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
        let over_ms = front.reads.over_until_ms("m", version);
        for (place, part) in PARTS.iter().enumerate() {
            let id = PartId::parse(part).expect("hex");
            let planner = &front.planner;
            let fate = planner.fate("m", version, id, over_ms, clock_ms, at(now));
            if fate == PartFate::Over {
                freed.push((version, place));
            }
        }
    }
    freed
}

fn happening() -> impl Strategy<Value = Happening> {
    let still = 100u64..20_000;
    prop_oneof![
        1 => Just(Happening::Name),
        12 => (0..FRONTS, 0..ENGINES, 0..PARTS.len(), 0u64..6_000, 1u64..2_000).prop_map(
            |(front, engine, part, wait_ms, need_ms)| Happening::Fetch {
                front, engine, part, wait_ms: wait_ms.saturating_sub(4_000), need_ms
            }
        ),
        1 => (0..FRONTS).prop_map(|front| Happening::Cancel { front }),
        4 => (0..ENGINES, still.clone())
            .prop_map(|(engine, for_ms)| Happening::StillEngine { engine, for_ms }),
        1 => (0..ENGINES, still.clone())
            .prop_map(|(engine, for_ms)| Happening::StillReports { engine, for_ms }),
        1 => (0..ENGINES).prop_map(|engine| Happening::NewEngine { engine }),
        1 => (0..ENGINES).prop_map(|engine| Happening::Load { engine }),
        2 => (0..FRONTS, still)
            .prop_map(|(front, for_ms)| Happening::StillFront { front, for_ms }),
        1 => (0..FRONTS).prop_map(|front| Happening::NewFront { front }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    /// Whatever the order of namings, fetches, standstills, restarts and cancels: what
    /// is freed is read by nobody any more, and nobody is told to fetch it.
    #[test]
    fn freed_is_unread(
        first_named in 500u64..3_000,
        happenings in proptest::collection::vec((0u64..40_000, happening()), 20..120),
    ) {
        let mut happenings = happenings;
        happenings.push((first_named, Happening::Name));
        happenings.sort_by_key(|(time, _)| *time);
        let mut world = SmallWorld::new();
        let mut next = happenings.iter().peekable();
        while world.now < WORLD_MS {
            while let Some((_, happening)) = next.next_if(|(time, _)| *time <= world.now) {
                world.happen(happening);
                prop_assert!(world.bad_fetch().is_none(), "{:?}", world.bad_fetch());
            }
            world.step();
            prop_assert!(world.bad_fetch().is_none(), "{} {:?}", world.now, world.bad_fetch());
        }
    }
}
