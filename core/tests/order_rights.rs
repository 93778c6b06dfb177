//! Exclusive right to give orders to one engine, held by its agent process or, if there is none,
//! by a front.
//!
//! Generated sequences of checks, writes with lost responses, delayed writes, pauses, restarts and
//! restores of the store are run against the production state machine; the simulated engine records
//! the orders that it receives.

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
const TRANSIT: Micros = Micros::from_millis(200);

/// Action of one process in a step.
#[derive(Debug, Clone, Copy)]
enum Action {
    /// Reads the row, and gives an order if allowed.
    Order,
    /// Reads the row, and acquires the right if another process holds it.
    Take,
    /// Like `Take`, but the response to the write is lost.
    TakeUnanswered,
    /// Like `Take`, but the write is carried out later.
    TakeLate,
    /// Reads the row, and is paused before it acts on it.
    Pause,
    /// Restarts without state.
    Restart,
    /// Does nothing.
    Idle,
}

/// Event of a step.
#[derive(Debug, Clone, Copy)]
enum Event {
    Act(usize, Action),
    /// The store takes a snapshot.
    Snapshot,
    /// The store is restored from the snapshot.
    Restore,
    /// Some time passes.
    Pass(u64),
}

/// Variant of the rules, to show that the simulation detects violations.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Variant {
    Correct,
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
    paused: Option<OrderRight>,
}

/// An order as received by the engine.
#[derive(Debug, Clone, PartialEq)]
struct ReceivedOrder {
    at: Micros,
    holder: String,
    number: u64,
}

struct Simulation {
    now: Micros,
    store: Store,
    snapshot: Store,
    processes: Vec<Process>,
    late_writes: Vec<(u64, String, Micros)>,
    received: Vec<ReceivedOrder>,
    variant: Variant,
}

impl Simulation {
    fn new(variant: Variant) -> Self {
        let process = |name: &str| Process {
            name: name.to_string(),
            right: OrderRight::new(name, GAP),
            paused: None,
        };
        Simulation {
            now: Micros::from_secs(1),
            store: Store {
                era: 1,
                ..Store::default()
            },
            snapshot: Store::default(),
            processes: ["agent", "front-1", "front-2"].map(process).into(),
            late_writes: Vec::new(),
            received: Vec::new(),
            variant,
        }
    }

    fn run(
        &mut self,
        events: &[Event],
    ) {
        for event in events {
            self.now = self.now + STEP;
            self.apply_late_writes();
            match *event {
                Event::Act(process, action) => self.act(process, action),
                Event::Snapshot => self.snapshot = self.store.clone(),
                Event::Restore if self.snapshot.era > 0 => {
                    let era = self.store.era + 1;
                    self.store = Store {
                        era,
                        ..self.snapshot.clone()
                    };
                    self.snapshot = Store::default();
                }
                Event::Restore => {}
                Event::Pass(steps) => self.now = self.now + Micros(STEP.0 * steps),
            }
        }
    }

    fn apply_late_writes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .late_writes
            .iter()
            .filter(|write| write.2 <= now)
            .cloned()
            .collect();
        self.late_writes.retain(|write| write.2 > now);
        for (expected, holder, _) in due {
            self.store.replace(expected, &holder);
        }
    }

    fn read_row(
        &mut self,
        process: usize,
    ) {
        let row = self.store.read();
        let (requested_at, now) = (self.now, self.now);
        self.processes[process]
            .right
            .on_row_read(row, requested_at, now);
    }

    fn act(
        &mut self,
        process: usize,
        action: Action,
    ) {
        let now = self.now;
        let name = self.processes[process].name.clone();
        if let Some(paused) = self.processes[process].paused.take() {
            // The process resumes and acts on the row that it had read.
            self.give_order(process, &paused);
        }
        match action {
            Action::Order => {
                if self.variant != Variant::Unchecked {
                    self.read_row(process);
                }
                let right = self.processes[process].right.clone();
                self.give_order(process, &right);
            }
            Action::Pause => {
                self.read_row(process);
                let right = self.processes[process].right.clone();
                self.processes[process].paused = Some(right);
            }
            Action::Restart => self.processes[process].right = OrderRight::new(name, GAP),
            Action::Idle => {}
            Action::Take | Action::TakeUnanswered | Action::TakeLate => {
                self.read_row(process);
                if self.processes[process].right.is_held() {
                    return;
                }
                let expected = self.store.row.as_ref().map_or(0, |(version, _)| *version);
                if matches!(action, Action::TakeLate) {
                    self.late_writes
                        .push((expected, name, now + Micros(STEP.0 * 15)));
                    self.processes[process].right.on_row_unknown();
                    return;
                }
                let written = self.store.replace(expected, &name);
                let right = &mut self.processes[process].right;
                match (written, action) {
                    (Some(position), Action::Take) => right.on_row_written(position, now, now),
                    _ => right.on_row_unknown(),
                }
            }
        }
    }

    fn give_order(
        &mut self,
        process: usize,
        right: &OrderRight,
    ) {
        let number = match self.variant {
            Variant::Unchecked => right.unchecked_fencing_token(self.now),
            Variant::Correct | Variant::EraIgnored => right.fencing_token(self.now),
        };
        let Some(number) = number else {
            return;
        };
        let number = match self.variant {
            Variant::EraIgnored => number & ((1 << 40) - 1),
            Variant::Correct | Variant::Unchecked => number,
        };
        self.received.push(ReceivedOrder {
            at: self.now + TRANSIT,
            holder: self.processes[process].name.clone(),
            number,
        });
    }

    /// Checks the guarantees that an engine has; returns the first violation.
    fn violation(&self) -> Option<String> {
        for (one, next) in self.received.iter().zip(self.received.iter().skip(1)) {
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

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => Just(Action::Order),
        3 => Just(Action::Take),
        1 => Just(Action::TakeUnanswered),
        1 => Just(Action::TakeLate),
        1 => Just(Action::Pause),
        1 => Just(Action::Restart),
        1 => Just(Action::Idle),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..3_usize, action()).prop_map(|(process, action)| Event::Act(process, action)),
        1 => Just(Event::Snapshot),
        1 => Just(Event::Restore),
        3 => (1..50_u64).prop_map(Event::Pass),
    ]
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    proptest::collection::vec(event(), 0..60)
}

fn is_detected(
    variant: Variant,
    count: u32,
) -> bool {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    (0..count).any(|_| {
        let events = events().new_tree(&mut runner).expect("generated").current();
        let mut simulation = Simulation::new(variant);
        simulation.run(&events);
        simulation.violation().is_some()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Fencing tokens never decrease and are never shared, and orders of two boxes are at least
    /// the gap apart.
    #[test]
    fn one_order_sender(events in events()) {
        let mut simulation = Simulation::new(Variant::Correct);
        simulation.run(&events);
        prop_assert_eq!(simulation.violation(), None);
    }
}

/// The simulation detects a process that does not check the row before it acts, and tokens without
/// the era.
#[test]
fn variants_fail() {
    assert!(is_detected(Variant::Unchecked, 2_000), "unchecked");
    assert!(is_detected(Variant::EraIgnored, 2_000), "era ignored");
    assert!(!is_detected(Variant::Correct, 2_000), "correct");
}

/// Each new holder waits, also the first one: a restored snapshot may lack the row of the previous
/// holder.
#[test]
fn new_holder_waits() {
    let mut simulation = Simulation::new(Variant::Correct);
    let agent = |action| Event::Act(0, action);
    let front = |action| Event::Act(1, action);
    simulation.run(&[agent(Action::Take), agent(Action::Order)]);
    assert_eq!(simulation.received.len(), 0);
    simulation.run(&[Event::Pass(40), agent(Action::Order)]);
    assert_eq!(simulation.received.len(), 1);
    simulation.run(&[
        front(Action::Take),
        front(Action::Order),
        agent(Action::Order),
    ]);
    assert_eq!(
        simulation.received.len(),
        1,
        "the old holder has lost it, the new one waits"
    );
    simulation.run(&[Event::Pass(40), front(Action::Order)]);
    assert_eq!(simulation.received.len(), 2);
    simulation.run(&[
        agent(Action::Take),
        Event::Pass(40),
        front(Action::Order),
        agent(Action::Order),
    ]);
    let holders: Vec<&str> = simulation
        .received
        .iter()
        .map(|received| received.holder.as_str())
        .collect();
    assert_eq!(holders, ["agent", "front-1", "agent"]);
}
