//! Exclusive right to give orders to one engine, held by the process beside it or, if there is
//! none, by a front.
//!
//! Generated sequences of checks, writes with lost answers, delayed writes, pauses, restarts and
//! restores of the store are run against the production state machine; the simulated engine
//! records the orders that it receives.

use {
    pitchhitch_core::{
        serving::{OrderRight, OrderRow, StoreEra, StorePosition},
        time::Micros,
    },
    proptest::{prelude::*, strategy::ValueTree},
};

/// Gap that engines require between orders of two boxes.
const GAP: Micros = Micros::from_millis(3_000);
/// Time between two steps of the simulation.
const STEP: Micros = Micros::from_millis(100);
/// Longest time that an order is in transit.
const WAY: Micros = Micros::from_millis(200);

/// Action of one process in a step.
#[derive(Debug, Clone, Copy)]
enum Deed {
    /// Reads the row, and gives an order if allowed.
    Order,
    /// Reads the row, and takes the right if another process holds it.
    Take,
    /// Like `Take`, but the answer to the write is lost.
    TakeUnanswered,
    /// Like `Take`, but the write is carried out later.
    TakeLate,
    /// Reads the row, and is paused before it acts on it.
    Freeze,
    /// Restarts without state.
    Restart,
    /// Does nothing.
    Rest,
}

/// Event of a step.
#[derive(Debug, Clone, Copy)]
enum Event {
    Does(usize, Deed),
    /// The store takes a snapshot.
    Copy,
    /// The store is restored from the snapshot.
    ComeBack,
    /// Some time passes.
    Pass(u64),
}

/// Variant of the rules, to show that the simulation detects violations.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Variant {
    Sound,
    /// A process gives orders without checking the row.
    Unchecked,
    /// Fencing tokens are versions without the era.
    EraIgnored,
}

#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    version: u64,
    row: Option<(u64, String)>,
}

impl Store {
    fn read(&self) -> Option<OrderRow> {
        let (version, holder) = self.row.clone()?;
        Some(OrderRow {
            position: self.position(version),
            holder,
        })
    }

    fn position(
        &self,
        version: u64,
    ) -> StorePosition {
        StorePosition {
            era: StoreEra(self.era),
            version,
        }
    }

    /// Replaces the row if it still has the expected version; returns its new position.
    fn replace(
        &mut self,
        expected: u64,
        holder: &str,
    ) -> Option<StorePosition> {
        if self.row.as_ref().map_or(0, |(version, _)| *version) != expected {
            return None;
        }
        self.version += 1;
        self.row = Some((self.version, holder.to_string()));
        Some(self.position(self.version))
    }
}

struct Process {
    name: String,
    right: OrderRight,
    /// State that a paused process acts on when it resumes.
    frozen: Option<OrderRight>,
}

/// An order as received by the engine.
#[derive(Debug, Clone, PartialEq)]
struct Got {
    at: Micros,
    holder: String,
    number: u64,
}

struct Play {
    now: Micros,
    store: Store,
    copy: Store,
    processes: Vec<Process>,
    late: Vec<(u64, String, Micros)>,
    got: Vec<Got>,
    variant: Variant,
}

impl Play {
    fn new(variant: Variant) -> Self {
        let process = |name: &str| Process {
            name: name.to_string(),
            right: OrderRight::new(name, GAP),
            frozen: None,
        };
        Play {
            now: Micros::from_secs(1),
            store: Store {
                era: 1,
                ..Store::default()
            },
            copy: Store::default(),
            processes: ["beside", "front-1", "front-2"].map(process).into(),
            late: Vec::new(),
            got: Vec::new(),
            variant,
        }
    }

    fn play(
        &mut self,
        events: &[Event],
    ) {
        for event in events {
            self.now = self.now + STEP;
            self.do_late();
            match *event {
                Event::Does(process, deed) => self.act(process, deed),
                Event::Copy => self.copy = self.store.clone(),
                Event::ComeBack if self.copy.era > 0 => {
                    let era = self.store.era + 1;
                    self.store = Store {
                        era,
                        ..self.copy.clone()
                    };
                    self.copy = Store::default();
                }
                Event::ComeBack => {}
                Event::Pass(steps) => self.now = self.now + Micros(STEP.0 * steps),
            }
        }
    }

    fn do_late(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .late
            .iter()
            .filter(|late| late.2 <= now)
            .cloned()
            .collect();
        self.late.retain(|late| late.2 > now);
        for (expected, holder, _) in due {
            self.store.replace(expected, &holder);
        }
    }

    fn look(
        &mut self,
        process: usize,
    ) {
        let row = self.store.read();
        let (asked_at, now) = (self.now, self.now);
        self.processes[process].right.row_read(row, asked_at, now);
    }

    fn act(
        &mut self,
        process: usize,
        deed: Deed,
    ) {
        let now = self.now;
        let name = self.processes[process].name.clone();
        if let Some(frozen) = self.processes[process].frozen.take() {
            // The process resumes and acts on the row that it had read.
            self.give(process, &frozen);
        }
        match deed {
            Deed::Order => {
                if self.variant != Variant::Unchecked {
                    self.look(process);
                }
                let right = self.processes[process].right.clone();
                self.give(process, &right);
            }
            Deed::Freeze => {
                self.look(process);
                let right = self.processes[process].right.clone();
                self.processes[process].frozen = Some(right);
            }
            Deed::Restart => self.processes[process].right = OrderRight::new(name, GAP),
            Deed::Rest => {}
            Deed::Take | Deed::TakeUnanswered | Deed::TakeLate => {
                self.look(process);
                if self.processes[process].right.is_held() {
                    return;
                }
                let expected = self.store.row.as_ref().map_or(0, |(version, _)| *version);
                if matches!(deed, Deed::TakeLate) {
                    self.late.push((expected, name, now + Micros(STEP.0 * 15)));
                    self.processes[process].right.row_unknown();
                    return;
                }
                let written = self.store.replace(expected, &name);
                let right = &mut self.processes[process].right;
                match (written, deed) {
                    (Some(position), Deed::Take) => right.row_written(position, now, now),
                    _ => right.row_unknown(),
                }
            }
        }
    }

    fn give(
        &mut self,
        process: usize,
        right: &OrderRight,
    ) {
        let number = match self.variant {
            Variant::Unchecked => right.unread_number(self.now),
            Variant::Sound | Variant::EraIgnored => right.number(self.now),
        };
        let Some(number) = number else {
            return;
        };
        let number = match self.variant {
            Variant::EraIgnored => number & ((1 << 40) - 1),
            Variant::Sound | Variant::Unchecked => number,
        };
        self.got.push(Got {
            at: self.now + WAY,
            holder: self.processes[process].name.clone(),
            number,
        });
    }

    /// Checks the guarantees that an engine has; returns the first violation.
    fn broken(&self) -> Option<String> {
        for (one, next) in self.got.iter().zip(self.got.iter().skip(1)) {
            if next.number < one.number {
                return Some(format!("fencing tokens decrease: {one:?}, {next:?}"));
            }
            if one.holder != next.holder && one.number == next.number {
                return Some(format!("two boxes share a token: {one:?}, {next:?}"));
            }
            if one.holder != next.holder && next.at.since(one.at) < GAP {
                return Some(format!("orders within the gap: {one:?}, {next:?}"));
            }
        }
        None
    }
}

fn deed() -> impl Strategy<Value = Deed> {
    prop_oneof![
        4 => Just(Deed::Order),
        3 => Just(Deed::Take),
        1 => Just(Deed::TakeUnanswered),
        1 => Just(Deed::TakeLate),
        1 => Just(Deed::Freeze),
        1 => Just(Deed::Restart),
        1 => Just(Deed::Rest),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..3_usize, deed()).prop_map(|(process, deed)| Event::Does(process, deed)),
        1 => Just(Event::Copy),
        1 => Just(Event::ComeBack),
        3 => (1..50_u64).prop_map(Event::Pass),
    ]
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    proptest::collection::vec(event(), 0..60)
}

fn is_seen(
    variant: Variant,
    count: u32,
) -> bool {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    (0..count).any(|_| {
        let events = events().new_tree(&mut runner).expect("generated").current();
        let mut play = Play::new(variant);
        play.play(&events);
        play.broken().is_some()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Fencing tokens never decrease and are never shared, and orders of two boxes are at least
    /// the gap apart.
    #[test]
    fn one_giver(events in events()) {
        let mut play = Play::new(Variant::Sound);
        play.play(&events);
        prop_assert_eq!(play.broken(), None);
    }
}

/// The simulation detects a process that does not check the row before it acts, and tokens without
/// the era.
#[test]
fn variants_fail() {
    assert!(is_seen(Variant::Unchecked, 2_000), "unchecked");
    assert!(is_seen(Variant::EraIgnored, 2_000), "era ignored");
    assert!(!is_seen(Variant::Sound, 2_000), "correct");
}

/// Each new holder waits, also the first one: a restored snapshot may lack the row of the previous
/// holder.
#[test]
fn takes_over_late() {
    let mut play = Play::new(Variant::Sound);
    let beside = |deed| Event::Does(0, deed);
    let front = |deed| Event::Does(1, deed);
    play.play(&[beside(Deed::Take), beside(Deed::Order)]);
    assert_eq!(play.got.len(), 0);
    play.play(&[Event::Pass(40), beside(Deed::Order)]);
    assert_eq!(play.got.len(), 1);
    play.play(&[front(Deed::Take), front(Deed::Order), beside(Deed::Order)]);
    assert_eq!(
        play.got.len(),
        1,
        "the old holder has lost it, the new one waits"
    );
    play.play(&[Event::Pass(40), front(Deed::Order)]);
    assert_eq!(play.got.len(), 2);
    play.play(&[
        beside(Deed::Take),
        Event::Pass(40),
        front(Deed::Order),
        beside(Deed::Order),
    ]);
    let holders: Vec<&str> = play.got.iter().map(|got| got.holder.as_str()).collect();
    assert_eq!(holders, ["beside", "front-1", "beside"]);
}
