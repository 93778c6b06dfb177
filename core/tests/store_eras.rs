//! The configuration known to fronts while the platform store is restored from snapshots.
//!
//! Generated sequences of reads, late responses, changes, snapshots, restores, restarts and
//! requests between fronts are run against the production state machines. Three rules are checked:
//! a configuration never goes back within one incarnation of a front; no caller is admitted by keys
//! that were revoked longer ago than the limit; and all fronts know the newest configuration soon
//! after the last disturbance.

use {
    pitchhitch_core::{
        serving::{EraTracker, EraUpdate, KeyFreshness, KeyPolicy, StoreEra, StorePosition},
        time::Micros,
    },
    proptest::{prelude::*, strategy::ValueTree, test_runner::TestRunner},
};

/// Age up to which the known keys are accepted.
const LIMIT: Micros = Micros::from_millis(5_000);
/// Longest time from the restore of the store until the operator has rewritten what was lost.
const OPERATOR_REWRITE_DELAY: Micros = Micros::from_millis(2_000);
const STEP: Micros = Micros::from_millis(100);
const FRONTS: usize = 3;

/// Event of a step.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A front sends a request; the store responds with its current content.
    Ask(usize),
    /// The response arrives.
    Receive(usize),
    /// A front requests the configuration of another one.
    Peer(usize, usize),
    Restart(usize),
    /// The operator revokes a key.
    Revoke,
    /// Other writers change rows.
    Others(u64),
    Snapshot,
    Restore,
    Pass(u64),
}

/// Variant of the rules, to show that the simulation detects violations.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Variant {
    Correct,
    /// Positions are versions without the era.
    EraIgnored,
    /// A read proves the current content right after a restore.
    AlwaysCertain,
    /// A front that has just started confirms what it read.
    AllConfirm,
    /// A front that has just started renews the freshness of other fronts.
    AllRefresh,
}

#[derive(Debug, Clone, Copy, Default)]
struct Store {
    era: u64,
    version: u64,
    /// Newest configuration, and the version at which it was written.
    config: (u64, u64),
}

/// Response of the store: its position, and the configuration if it is included.
#[derive(Debug, Clone, Copy)]
struct Answer {
    position: StorePosition,
    config: Option<u64>,
    is_refused: bool,
    /// Whether the operator had not yet rewritten what the store lost.
    is_incomplete: bool,
    sent_at: Micros,
}

impl Store {
    fn answer(
        &self,
        after: Option<StorePosition>,
        sent_at: Micros,
        variant: Variant,
    ) -> Answer {
        let position = StorePosition {
            era: StoreEra(self.era),
            version: self.version,
        };
        let is_ahead = after.is_some_and(|after| after.version > self.version);
        let is_other_era = after.is_some_and(|after| after.era != position.era);
        let is_update = after.is_none_or(|after| self.config.1 > after.version);
        Answer {
            position,
            config: is_update.then_some(self.config.0),
            is_refused: is_ahead || (is_other_era && variant != Variant::EraIgnored),
            is_incomplete: false,
            sent_at,
        }
    }
}

struct Front {
    eras: EraTracker,
    freshness: KeyFreshness,
    seen: Option<StorePosition>,
    config: Option<u64>,
    proven_era: Option<StoreEra>,
    pending: Option<Answer>,
    /// Whether the known configuration was read from a restored snapshot before the operator had
    /// rewritten it, by a front that could not distinguish it from the content before the restore.
    has_undetected_restore: bool,
}

impl Front {
    fn new() -> Self {
        Front {
            eras: EraTracker::default(),
            freshness: KeyFreshness::new(LIMIT, KeyPolicy::FailClosed),
            seen: None,
            config: None,
            proven_era: None,
            pending: None,
            has_undetected_restore: false,
        }
    }
}

struct Simulation {
    variant: Variant,
    now: Micros,
    store: Store,
    snapshot: Store,
    /// Newest configuration that the operator has written.
    newest: u64,
    revoked_at: Vec<Micros>,
    /// When the operator rewrites after a restore, and when it last did.
    writes_at: Option<Micros>,
    written_at: Micros,
    fronts: Vec<Front>,
}

impl Simulation {
    fn new(variant: Variant) -> Self {
        Simulation {
            variant,
            now: Micros::from_secs(100),
            store: Store::default(),
            snapshot: Store::default(),
            newest: 0,
            revoked_at: vec![Micros::ZERO],
            writes_at: None,
            written_at: Micros::ZERO,
            fronts: (0..FRONTS).map(|_| Front::new()).collect(),
        }
    }

    fn write(&mut self) {
        self.store.version += 1;
        self.store.config = (self.newest, self.store.version);
    }

    fn step(
        &mut self,
        event: Event,
    ) {
        match event {
            Event::Ask(index) => self.ask(index),
            Event::Receive(index) => self.receive(index),
            Event::Peer(index, other) => self.peer(index, other),
            Event::Restart(index) => self.fronts[index] = Front::new(),
            Event::Revoke => {
                self.newest += 1;
                self.revoked_at.push(self.now);
                self.write();
            }
            Event::Others(count) => self.store.version += count,
            Event::Snapshot => self.snapshot = self.store,
            Event::Restore => {
                let era = self.store.era + 1;
                self.store = Store {
                    era,
                    ..self.snapshot
                };
                self.snapshot = self.store;
                self.writes_at = Some(self.now + OPERATOR_REWRITE_DELAY);
            }
            Event::Pass(steps) => self.now = self.now + Micros(STEP.0 * steps),
        }
        if self.writes_at.is_some_and(|at| at <= self.now) {
            self.written_at = self.writes_at.take().unwrap_or_default();
            self.write();
        }
    }

    fn ask(
        &mut self,
        index: usize,
    ) {
        let (now, variant) = (self.now, self.variant);
        let front = &mut self.fronts[index];
        let mut answer = self.store.answer(front.seen, now, variant);
        answer.is_incomplete = self.store.config.0 < self.newest;
        front.pending = Some(answer);
    }

    fn receive(
        &mut self,
        index: usize,
    ) {
        let (now, variant) = (self.now, self.variant);
        let front = &mut self.fronts[index];
        let Some(answer) = front.pending.take() else {
            return;
        };
        if answer.is_refused {
            front.seen = None;
        }
        let is_first = front.eras.known().is_none();
        if front.eras.observe(answer.position.era, now) == EraUpdate::Outdated
            && variant != Variant::EraIgnored
        {
            return;
        }
        if answer.is_refused {
            return;
        }
        front.has_undetected_restore |= is_first && answer.is_incomplete;
        front.seen = Some(answer.position);
        front.config = front.config.max(answer.config);
        let proves = match variant {
            Variant::EraIgnored | Variant::AlwaysCertain => true,
            Variant::Correct | Variant::AllConfirm | Variant::AllRefresh => {
                front.eras.proves(answer.sent_at)
            }
        };
        if proves {
            front.freshness.record_read(answer.sent_at);
            if variant == Variant::AllConfirm || front.eras.can_confirm(answer.sent_at) {
                front.proven_era = front.eras.known();
            }
        }
    }

    fn peer(
        &mut self,
        index: usize,
        other: usize,
    ) {
        let now = self.now;
        let source = &self.fronts[other];
        let (Some(config), Some(age)) = (source.config, source.freshness.age(now)) else {
            return;
        };
        let (era, has_undetected_restore) = (source.proven_era, source.has_undetected_restore);
        let front = &mut self.fronts[index];
        if era.is_some_and(|era| front.eras.confirm(era, now)) {
            front.freshness.invalidate();
        }
        if front.freshness.proven_at().is_none() {
            front.has_undetected_restore |= has_undetected_restore;
        }
        let renews = era.is_some() || self.variant == Variant::AllRefresh;
        if renews || front.freshness.proven_at().is_none() {
            front.freshness.record_report(age, now);
        }
        front.config = front.config.max(Some(config));
    }

    /// First violated rule, if any.
    fn violation(
        &self,
        before: &[Option<u64>],
    ) -> Option<&'static str> {
        for (front, before) in self.fronts.iter().zip(before) {
            if front.config < *before {
                return Some("a configuration went back within one incarnation");
            }
            let Some(config) = front
                .config
                .filter(|_| front.freshness.admits_keys(self.now))
            else {
                continue;
            };
            let Some(revoked_at) = self.revoked_at.get(config as usize + 1) else {
                continue;
            };
            let since = match front.has_undetected_restore {
                true if self.writes_at.is_some() => self.now,
                true => self.written_at.max(*revoked_at),
                false => *revoked_at,
            };
            if self.now.since(since) >= LIMIT {
                return Some("a revoked key was accepted for too long");
            }
        }
        None
    }

    /// Runs the events; returns the first violated rule.
    fn run(
        mut self,
        events: &[Event],
    ) -> Option<&'static str> {
        for event in events {
            let mut before: Vec<Option<u64>> = self.fronts.iter().map(|f| f.config).collect();
            if let Event::Restart(index) = event {
                before[*index] = None;
            }
            self.step(*event);
            if let Some(rule) = self.violation(&before) {
                return Some(rule);
            }
        }
        for _ in 0..40 {
            for index in 0..FRONTS {
                self.step(Event::Ask(index));
                self.step(Event::Receive(index));
            }
            self.step(Event::Pass(1));
        }
        let is_settled = |front: &Front| {
            front.config == Some(self.newest) && front.freshness.age(self.now) <= Some(STEP)
        };
        match self.fronts.iter().all(is_settled) {
            true => None,
            false => Some("not all fronts know the newest configuration in the end"),
        }
    }
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let front = 0..FRONTS;
    let event = prop_oneof![
        6 => front.clone().prop_map(Event::Ask),
        6 => front.clone().prop_map(Event::Receive),
        2 => (front.clone(), front.clone()).prop_map(|(a, b)| Event::Peer(a, b)),
        1 => front.prop_map(Event::Restart),
        2 => Just(Event::Revoke),
        2 => (1u64..4).prop_map(Event::Others),
        1 => Just(Event::Snapshot),
        1 => Just(Event::Restore),
        5 => (1u64..12).prop_map(Event::Pass),
    ];
    prop::collection::vec(event, 1..160)
}

/// Runs up to `cases` generated cases; returns the first violation found.
fn first_violation(
    variant: Variant,
    cases: usize,
) -> Option<&'static str> {
    let mut runner = TestRunner::deterministic();
    let events = events();
    (0..cases).find_map(|_| {
        let tree = events.new_tree(&mut runner).expect("events");
        Simulation::new(variant).run(&tree.current())
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn rules_hold(events in events()) {
        prop_assert_eq!(Simulation::new(Variant::Correct).run(&events), None);
    }
}

#[test]
fn violations_found() {
    let faulty_variants = [
        Variant::EraIgnored,
        Variant::AlwaysCertain,
        Variant::AllConfirm,
        Variant::AllRefresh,
    ];
    for variant in faulty_variants {
        assert!(first_violation(variant, 20_000).is_some(), "{variant:?}");
    }
}
