//! Several fronts, a store and its snapshot, and the rules that hold between them.

mod rollout_event;

pub use rollout_event::*;

use pitchhitch_core::{
    rollout::{
        decide_rollout, AnswerOutcome, DecisionInput, OutcomeCounts, RolloutOrder, RolloutRecord,
        RolloutRequest, RolloutState, RolloutTable, VersionArm, VersionCapacity,
    },
    serving::{StoreEra, StorePosition},
    time::Micros,
};

const SERVICE: &str = "s";
const OLD: &str = "v1";
const FRONTS: usize = 3;
pub const LIMIT_SHARE: f64 = 0.1;
const MAX_AGE: Micros = Micros::from_millis(2_500);
const DURATION: Micros = Micros::from_secs(12);

/// Variant of the rules, to show that the simulation detects violations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Variant {
    Correct,
    /// Writes replace the record whatever it is.
    Unconditional,
    /// Records count at any age.
    Ageless,
    /// A front does not count its requests to the target.
    Unmetered,
}

#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    version: u64,
    order: Option<RolloutOrder>,
    record: Option<(RolloutRecord, u64)>,
    counts: Vec<Option<(RolloutOrder, OutcomeCounts)>>,
}

struct Front {
    table: RolloutTable,
    /// Record to be written, and the version of the one that it replaces.
    pending: Option<(RolloutRecord, u64, u64)>,
}

pub struct World {
    variant: Variant,
    is_target_bad: bool,
    now: Micros,
    store: Store,
    snapshot: Option<Store>,
    fronts: Vec<Front>,
    /// Requests of each front since it learned of the order, and those to the compared version.
    tallies: Vec<(u64, u64)>,
    next_target: u32,
}

impl World {
    pub fn new(
        variant: Variant,
        is_target_bad: bool,
    ) -> Self {
        let front = || Front {
            table: RolloutTable::default(),
            pending: None,
        };
        World {
            variant,
            is_target_bad,
            now: Micros::from_secs(1),
            store: Store {
                version: 1,
                counts: vec![None; FRONTS],
                ..Store::default()
            },
            snapshot: None,
            fronts: (0..FRONTS).map(|_| front()).collect(),
            tallies: vec![(0, 0); FRONTS],
            next_target: 2,
        }
    }

    fn store_ms(&self) -> u64 {
        self.now.as_millis()
    }

    pub fn step(
        &mut self,
        event: Event,
    ) -> Result<(), String> {
        match event {
            Event::Requests {
                front,
                count,
                first_draw,
                is_repeatable,
            } => {
                for number in 0..count {
                    // Half of the draws ask for the target.
                    let draw = match number % 2 {
                        0 => first_draw * LIMIT_SHARE / 2.0,
                        _ => first_draw,
                    };
                    self.send_request(front, draw, is_repeatable)?;
                }
            }
            Event::Read(front) => self.read(front),
            Event::Count(front) => {
                let rollout = self.fronts[front].table.get(SERVICE);
                let counted = rollout.and_then(|r| Some((r.order.clone()?, r.counts.clone())));
                if counted.is_some() {
                    self.store.counts[front] = counted;
                }
            }
            Event::Decide(front) => self.decide(front)?,
            Event::Arrive(front) => self.arrive(front)?,
            Event::Lose(front) => self.fronts[front].pending = None,
            Event::Restart(front) => {
                self.fronts[front].table = RolloutTable::default();
                self.fronts[front].pending = None;
            }
            Event::Order => {
                self.store.version += 1;
                self.store.order = Some(RolloutOrder {
                    service: SERVICE.to_string(),
                    target_version: format!("v{}", self.next_target),
                    duration: DURATION,
                    position: StorePosition {
                        era: StoreEra(self.store.era),
                        version: self.store.version,
                    },
                });
                self.next_target += 1;
            }
            Event::Withdraw => {
                self.store.version += 1;
                self.store.order = None;
            }
            Event::Snapshot => self.snapshot = Some(self.store.clone()),
            Event::Restore => {
                let era = self.store.era + 1;
                if let Some(snapshot) = self.snapshot.clone() {
                    self.store = Store { era, ..snapshot };
                    // Writes to the previous era fail.
                    for front in &mut self.fronts {
                        front.pending = None;
                    }
                }
            }
            Event::Pass(millis) => self.now = self.now + Micros::from_millis(millis),
        }
        Ok(())
    }

    fn read(
        &mut self,
        front: usize,
    ) {
        let clock = Some((self.store_ms(), self.now));
        let table = &mut self.fronts[front].table;
        table.begin_full_read();
        if let Some(order) = self.store.order.clone() {
            let position = StorePosition {
                era: StoreEra(self.store.era),
                ..order.position
            };
            table.set_order(RolloutOrder { position, ..order });
        }
        table.finish_full_read();
        let record = self.store.record.as_ref().map(|(record, _)| record.clone());
        table.record_read(SERVICE, record, self.now, clock);
        if let Some(rollout) = table.get_mut(SERVICE) {
            rollout.capacity = VersionCapacity {
                baseline: 8,
                target: 8,
            };
        }
    }

    fn send_request(
        &mut self,
        front: usize,
        draw: f64,
        is_repeatable: bool,
    ) -> Result<(), String> {
        let max_age = match self.variant {
            Variant::Ageless => Micros::from_secs(1_000_000),
            _ => MAX_AGE,
        };
        let now = self.now;
        let table = &mut self.fronts[front].table;
        let request = RolloutRequest {
            draw,
            may_compare: true,
            is_repeatable,
        };
        let preference = table.preference(SERVICE, request, LIMIT_SHARE, max_age, now);
        let (Some(preference), Some(rollout)) = (preference, table.get_mut(SERVICE)) else {
            return Ok(());
        };
        let Some(record) = rollout.current_record().cloned() else {
            return check(
                preference.preferred.only.is_none(),
                "a request went to a version without a record",
            );
        };
        let target = &record.order.target_version;
        let goes_to_target = preference.preferred.admits(target);
        let is_fresh = rollout.read_at.is_some_and(|at| now.since(at) <= MAX_AGE);
        check(
            !goes_to_target || record.state != RolloutState::RolledBack,
            "a request went to a version that was rolled back",
        )?;
        check(
            !goes_to_target || is_fresh || record.state == RolloutState::Done,
            "a request went to a version by an old record",
        )?;
        let tally = &mut self.tallies[front];
        // A front that has restarted counts anew, as does one that learns of another order.
        if rollout.meter.requests() == 0 {
            *tally = (0, 0);
        }
        tally.0 += 1;
        tally.1 += u64::from(preference.is_comparison);
        check(
            tally.1 as f64 <= LIMIT_SHARE * tally.0 as f64,
            "too many requests went to a version that is compared",
        )?;
        let is_exposed = goes_to_target && self.variant != Variant::Unmetered;
        rollout.meter.record(is_exposed);
        let arm = match goes_to_target {
            true => VersionArm::Target,
            false => VersionArm::Baseline,
        };
        let outcome = match arm == VersionArm::Target && self.is_target_bad {
            true => AnswerOutcome::Failed,
            false => AnswerOutcome::Answered(10.0),
        };
        rollout.record_outcome("r", arm, outcome, now);
        check(!record.is_rejected(OLD), "the baseline was rejected")
    }

    fn decide(
        &mut self,
        front: usize,
    ) -> Result<(), String> {
        self.read(front);
        let store_ms = self.store_ms();
        let table = &self.fronts[front].table;
        let rollout = table.get(SERVICE);
        let order = rollout.and_then(|rollout| rollout.order.clone());
        let mut sum = OutcomeCounts::default();
        for (writer, row) in self.store.counts.iter().enumerate() {
            let is_current =
                |known: &RolloutOrder| order.as_ref().is_some_and(|o| o.is_same(known));
            match row {
                Some((known, counts)) if writer != front && is_current(known) => sum.merge(counts),
                _ => {}
            }
        }
        if let Some(rollout) = rollout {
            sum.merge(&rollout.counts);
        }
        let stored = self.store.record.as_ref();
        let decision = decide_rollout(&DecisionInput {
            order: order.as_ref(),
            record: stored.map(|(record, _)| record),
            known_final: table.known_final(SERVICE),
            counts: &sum,
            capacity: VersionCapacity {
                baseline: 8,
                target: 8,
            },
            store_ms,
        });
        if let Some(record) = &decision {
            let is_proven_bad = self.is_target_bad && sum.sum().target.total >= 10;
            let is_done = record.state == RolloutState::Done;
            let is_known = table.known_final(SERVICE).is_some_and(|k| k == record);
            check(
                !(is_done && is_proven_bad) || is_known,
                "a version that fails was accepted",
            )?;
        }
        let version = stored.map_or(0, |(_, version)| *version);
        let era = self.store.era;
        self.fronts[front].pending = decision.map(|record| (record, version, era));
        Ok(())
    }

    fn arrive(
        &mut self,
        front: usize,
    ) -> Result<(), String> {
        let Some((record, expected, era)) = self.fronts[front].pending.take() else {
            return Ok(());
        };
        let current = self.store.record.as_ref();
        let version = current.map_or(0, |(_, version)| *version);
        let is_unchanged = version == expected && era == self.store.era;
        if !is_unchanged && self.variant != Variant::Unconditional {
            return Ok(());
        }
        if let Some((known, _)) = current {
            let is_same = known.order.is_same(&record.order);
            check(
                !(is_same && known.state.is_final() && known.state != record.state),
                "a final state was replaced",
            )?;
        }
        self.store.version += 1;
        self.store.record = Some((record, self.store.version));
        Ok(())
    }
}

fn check(
    holds: bool,
    rule: &str,
) -> Result<(), String> {
    match holds {
        true => Ok(()),
        false => Err(rule.to_string()),
    }
}
