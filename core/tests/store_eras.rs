//! What fronts know of a configuration while the platform store is restored from snapshots.
//!
//! Generated sequences of reads, late answers, changes, snapshots, restores, restarts and requests
//! between fronts are run against the production state machines. Three rules are checked: a
//! configuration never goes back within one incarnation of a front; no caller is admitted by keys
//! that were revoked longer ago than the limit; and all fronts know the newest configuration soon
//! after the last disturbance.

use {
    pitchhitch_core::{
        serving::{EraNews, EraWatch, KeyPolicy, KeyTrust, StoreEra, StorePosition},
        time::Micros,
    },
    proptest::{prelude::*, strategy::ValueTree, test_runner::TestRunner},
};

/// Age up to which the known keys are accepted.
const LIMIT: Micros = Micros::from_millis(5_000);
/// Longest time from the restore of the store until the operator has rewritten what was lost.
const OPERATOR_AGAIN: Micros = Micros::from_millis(2_000);
const STEP: Micros = Micros::from_millis(100);
const FRONTS: usize = 3;

/// Event of a step.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A front sends a request; the store answers with its current content.
    Ask(usize),
    /// The answer arrives.
    Hear(usize),
    /// A front asks another one for its configuration.
    Peer(usize, usize),
    Restart(usize),
    /// The operator revokes a key.
    Revoke,
    /// Other writers change rows.
    Others(u64),
    Copy,
    ComeBack,
    Pass(u64),
}

/// Variant of the rules, to show that the simulation detects violations.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Variant {
    Sound,
    /// Positions are versions without the era.
    EraIgnored,
    /// A read proves the current content right after a restore.
    Undoubted,
    /// A front that has just started confirms what it read.
    AllVouch,
    /// A front that has just started refreshes what others know.
    AllRenew,
}

#[derive(Debug, Clone, Copy, Default)]
struct Store {
    era: u64,
    version: u64,
    /// Newest configuration, and the version at which it was written.
    config: (u64, u64),
}

/// Answer of the store: its position, and the configuration if it is included.
#[derive(Debug, Clone, Copy)]
struct Answer {
    position: StorePosition,
    config: Option<u64>,
    is_refused: bool,
    /// Whether the operator had not yet rewritten what the store lost.
    is_lacking: bool,
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
        let is_gone = after.is_some_and(|after| after.version > self.version);
        let is_other = after.is_some_and(|after| after.era != position.era);
        let is_news = after.is_none_or(|after| self.config.1 > after.version);
        Answer {
            position,
            config: is_news.then_some(self.config.0),
            is_refused: is_gone || (is_other && variant != Variant::EraIgnored),
            is_lacking: false,
            sent_at,
        }
    }
}

struct Front {
    eras: EraWatch,
    trust: KeyTrust,
    seen: Option<StorePosition>,
    config: Option<u64>,
    proven_era: Option<StoreEra>,
    under_way: Option<Answer>,
    /// Whether the known configuration comes from a restored snapshot that the operator had not
    /// yet rewritten, and that no front could tell from the content before it.
    is_blind: bool,
}

impl Front {
    fn new() -> Self {
        Front {
            eras: EraWatch::default(),
            trust: KeyTrust::new(LIMIT, KeyPolicy::FailClosed),
            seen: None,
            config: None,
            proven_era: None,
            under_way: None,
            is_blind: false,
        }
    }
}

struct Play {
    variant: Variant,
    now: Micros,
    store: Store,
    copy: Store,
    /// Newest configuration that the operator has written.
    newest: u64,
    revoked_at: Vec<Micros>,
    /// When the operator rewrites after a restore, and when it last did.
    writes_at: Option<Micros>,
    written_at: Micros,
    fronts: Vec<Front>,
}

impl Play {
    fn new(variant: Variant) -> Self {
        Play {
            variant,
            now: Micros::from_secs(100),
            store: Store::default(),
            copy: Store::default(),
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
            Event::Ask(place) => self.ask(place),
            Event::Hear(place) => self.hear(place),
            Event::Peer(place, other) => self.peer(place, other),
            Event::Restart(place) => self.fronts[place] = Front::new(),
            Event::Revoke => {
                self.newest += 1;
                self.revoked_at.push(self.now);
                self.write();
            }
            Event::Others(count) => self.store.version += count,
            Event::Copy => self.copy = self.store,
            Event::ComeBack => {
                let era = self.store.era + 1;
                self.store = Store { era, ..self.copy };
                self.copy = self.store;
                self.writes_at = Some(self.now + OPERATOR_AGAIN);
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
        place: usize,
    ) {
        let (now, variant) = (self.now, self.variant);
        let front = &mut self.fronts[place];
        let mut answer = self.store.answer(front.seen, now, variant);
        answer.is_lacking = self.store.config.0 < self.newest;
        front.under_way = Some(answer);
    }

    fn hear(
        &mut self,
        place: usize,
    ) {
        let (now, variant) = (self.now, self.variant);
        let front = &mut self.fronts[place];
        let Some(answer) = front.under_way.take() else {
            return;
        };
        if answer.is_refused {
            front.seen = None;
        }
        let is_first = front.eras.known().is_none();
        if front.eras.note(answer.position.era, now) == EraNews::Earlier
            && variant != Variant::EraIgnored
        {
            return;
        }
        if answer.is_refused {
            return;
        }
        front.is_blind |= is_first && answer.is_lacking;
        front.seen = Some(answer.position);
        front.config = front.config.max(answer.config);
        let proves = match variant {
            Variant::EraIgnored | Variant::Undoubted => true,
            Variant::Sound | Variant::AllVouch | Variant::AllRenew => {
                front.eras.proves(answer.sent_at)
            }
        };
        if proves {
            front.trust.proven(answer.sent_at);
            if variant == Variant::AllVouch || front.eras.may_vouch(answer.sent_at) {
                front.proven_era = front.eras.known();
            }
        }
    }

    fn peer(
        &mut self,
        place: usize,
        other: usize,
    ) {
        let now = self.now;
        let told = &self.fronts[other];
        let (Some(config), Some(age)) = (told.config, told.trust.age(now)) else {
            return;
        };
        let (era, is_blind) = (told.proven_era, told.is_blind);
        let front = &mut self.fronts[place];
        if era.is_some_and(|era| front.eras.vouch(era, now)) {
            front.trust.unprove();
        }
        if front.trust.proven_at().is_none() {
            front.is_blind |= is_blind;
        }
        let renews = era.is_some() || self.variant == Variant::AllRenew;
        if renews || front.trust.proven_at().is_none() {
            front.trust.handed_on(age, now);
        }
        front.config = front.config.max(Some(config));
    }

    /// First violated rule, if any.
    fn broken(
        &self,
        before: &[Option<u64>],
    ) -> Option<&'static str> {
        for (front, before) in self.fronts.iter().zip(before) {
            if front.config < *before {
                return Some("a configuration went back within one incarnation");
            }
            let Some(config) = front.config.filter(|_| front.trust.lets_in(self.now)) else {
                continue;
            };
            let Some(revoked_at) = self.revoked_at.get(config as usize + 1) else {
                continue;
            };
            let since = match front.is_blind {
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
            if let Event::Restart(place) = event {
                before[*place] = None;
            }
            self.step(*event);
            if let Some(rule) = self.broken(&before) {
                return Some(rule);
            }
        }
        for _ in 0..40 {
            for place in 0..FRONTS {
                self.step(Event::Ask(place));
                self.step(Event::Hear(place));
            }
            self.step(Event::Pass(1));
        }
        let is_settled = |front: &Front| {
            front.config == Some(self.newest) && front.trust.age(self.now) <= Some(STEP)
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
        6 => front.clone().prop_map(Event::Hear),
        2 => (front.clone(), front.clone()).prop_map(|(a, b)| Event::Peer(a, b)),
        1 => front.prop_map(Event::Restart),
        2 => Just(Event::Revoke),
        2 => (1u64..4).prop_map(Event::Others),
        1 => Just(Event::Copy),
        1 => Just(Event::ComeBack),
        5 => (1u64..12).prop_map(Event::Pass),
    ];
    prop::collection::vec(event, 1..160)
}

/// Runs up to `cases` generated cases; returns the first violation found.
fn found_within(
    variant: Variant,
    cases: usize,
) -> Option<&'static str> {
    let mut runner = TestRunner::deterministic();
    let events = events();
    (0..cases).find_map(|_| {
        let tree = events.new_tree(&mut runner).expect("events");
        Play::new(variant).run(&tree.current())
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn rules_hold(events in events()) {
        prop_assert_eq!(Play::new(Variant::Sound).run(&events), None);
    }
}

#[test]
fn broken_found() {
    let broken = [
        Variant::EraIgnored,
        Variant::Undoubted,
        Variant::AllVouch,
        Variant::AllRenew,
    ];
    for variant in broken {
        assert!(found_within(variant, 20_000).is_some(), "{variant:?}");
    }
}
