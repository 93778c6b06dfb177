//! Who gives one engine its orders: the process beside it, and fronts where nobody stands there.
//!
//! Generated orders of looks, writes with lost answers, late writes, standstills, restarts and
//! copies of the store are played with the very decisions; engines note what reaches them.

use {
    pitchhitch_core::{
        serving::{OrderRight, OrderRow, StoreEra, StorePosition},
        time::Micros,
    },
    proptest::{prelude::*, strategy::ValueTree},
};

/// Gap that engines are owed between orders of two boxes.
const GAP: Micros = Micros::from_millis(3_000);
/// Time between two steps of the play.
const STEP: Micros = Micros::from_millis(100);
/// Longest way of an order.
const WAY: Micros = Micros::from_millis(200);

/// What one process does in a step.
#[derive(Debug, Clone, Copy)]
enum Deed {
    /// Reads the row, and gives an order where it may.
    Order,
    /// Reads the row, and takes the right where somebody else has it.
    Take,
    /// The same, and the answer to the write gets lost.
    TakeUnanswered,
    /// The same, and the write is done later.
    TakeLate,
    /// Reads the row, and stands still before it acts by that.
    Freeze,
    /// Starts anew.
    Restart,
    /// Nothing.
    Rest,
}

/// What happens in a step.
#[derive(Debug, Clone, Copy)]
enum Event {
    Does(usize, Deed),
    /// The store keeps a copy.
    Copy,
    /// The store comes back from it.
    ComeBack,
    /// Some time passes.
    Pass(u64),
}

/// A variant of the rules, to show that the play sees what breaks them.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Variant {
    Sound,
    /// A process goes on without a look at the row.
    Unchecked,
    /// Numbers are versions alone.
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

    /// Replaces the row where it has this version still; its new position.
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
    /// A right that is acted on after a standstill.
    frozen: Option<OrderRight>,
}

/// An order as the engine got it.
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
            // It wakes and goes by what it had read.
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

    /// What an engine is owed of those that give it orders.
    fn broken(&self) -> Option<String> {
        for (one, next) in self.got.iter().zip(self.got.iter().skip(1)) {
            if next.number < one.number {
                return Some(format!("numbers fall: {one:?}, {next:?}"));
            }
            if one.holder != next.holder && one.number == next.number {
                return Some(format!("two share a number: {one:?}, {next:?}"));
            }
            if one.holder != next.holder && next.at.since(one.at) < GAP {
                return Some(format!("turns inside the gap: {one:?}, {next:?}"));
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

    /// Numbers never fall and are never shared, and two boxes are never closer than the gap.
    #[test]
    fn one_giver(events in events()) {
        let mut play = Play::new(Variant::Sound);
        play.play(&events);
        prop_assert_eq!(play.broken(), None);
    }
}

/// The play sees a process that does not look before it acts, and numbers without eras.
#[test]
fn variants_fail() {
    assert!(is_seen(Variant::Unchecked, 2_000), "unchecked");
    assert!(is_seen(Variant::EraIgnored, 2_000), "era ignored");
    assert!(!is_seen(Variant::Sound, 2_000), "sound");
}

/// Each holder waits, also the first one: a copy may have lost who had the right before.
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
        "the old one has lost it, the new one waits"
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
