use {
    super::{EndpointBook, EndpointEntry, EndpointKey, EndpointStanding, VIEW_LIFE},
    crate::time::Micros,
    std::collections::BTreeMap,
};

/// Engines of a group that have their turn at once. The sites load two at once
/// without slowing each other down; a third one ends its runs meanwhile.
const TURNS_AT_ONCE: usize = 3;
/// Time after which an engine that has not made use of its turn loses it.
const TURN_LIMIT: Micros = Micros::from_secs(5);

/// Time for which parts of a version are fetched from stores, from the last
/// reading that showed no newer one.
const FETCH_AFTER: Micros = Micros::from_millis(4_000);
/// Time from when a box learns of newer weights until it frees parts of older
/// ones: [`FETCH_AFTER`], the longest fetch ([`VIEW_LIFE`]) and half a second.
const FREE_AFTER: Micros = Micros(FETCH_AFTER.0 + VIEW_LIFE.0 + 500_000);

/// When this box learned of named weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Naming {
    not_yet: Option<Micros>,
    learned_at: Micros,
}

/// New weights that are named, and which engines load them now.
#[derive(Debug, Clone, Default)]
pub struct SwapPlanner {
    named: BTreeMap<String, u64>,
    namings: BTreeMap<(String, u64), Naming>,
    turns: BTreeMap<EndpointKey, SwapTurn>,
    missed: BTreeMap<EndpointKey, u32>,
}

/// One engine's turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapTurn {
    /// Model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Since when it is the engine's turn.
    pub since: Micros,
}

impl SwapPlanner {
    /// Takes that weights are named; true where that is news.
    ///
    /// `not_yet` is when the last reading was sent that did not show them.
    pub fn name(
        &mut self,
        model: &str,
        version: u64,
        not_yet: Option<Micros>,
        now: Micros,
    ) -> bool {
        let before = self.named(model).unwrap_or(0);
        if version <= before {
            return false;
        }
        self.named.insert(model.to_string(), version);
        let naming = Naming {
            not_yet,
            learned_at: now,
        };
        self.namings.insert((model.to_string(), version), naming);
        true
    }

    /// Whether parts made under a version may still be fetched from stores.
    ///
    /// They are freed some time after newer weights are named, whatever this box
    /// has heard of it, so what counts is when it last knew of none.
    pub fn may_fetch(
        &self,
        model: &str,
        version: u64,
        proven_at: Option<Micros>,
        now: Micros,
    ) -> bool {
        let known = match self.replaced_by(model, version) {
            Some(naming) => naming.not_yet,
            None => proven_at,
        };
        known.is_some_and(|at| now.since(at) < FETCH_AFTER)
    }

    /// Whether no box fetches parts made under a version any more.
    pub fn may_free(
        &self,
        model: &str,
        version: u64,
        now: Micros,
    ) -> bool {
        let naming = self.replaced_by(model, version);
        naming.is_some_and(|naming| now.since(naming.learned_at) > FREE_AFTER)
    }

    fn replaced_by(
        &self,
        model: &str,
        version: u64,
    ) -> Option<&Naming> {
        let later = (model.to_string(), version + 1)..=(model.to_string(), u64::MAX);
        self.namings.range(later).next().map(|(_, naming)| naming)
    }

    /// The newest version named of a model.
    pub fn named(
        &self,
        model: &str,
    ) -> Option<u64> {
        self.named.get(model).copied()
    }

    /// All named weights.
    pub fn all_named(&self) -> impl Iterator<Item = (&str, u64)> {
        self.named.iter().map(|(model, version)| (model.as_str(), *version))
    }

    /// The turn of an engine, if it has one.
    pub fn turn(
        &self,
        key: EndpointKey,
    ) -> Option<&SwapTurn> {
        self.turns.get(&key)
    }

    /// Whether an engine lacks named weights.
    pub fn is_behind(
        &self,
        entry: &EndpointEntry,
    ) -> bool {
        self.lack(entry).is_some()
    }

    /// Gives turns anew; returns those that have just begun.
    pub fn plan(
        &mut self,
        book: &EndpointBook,
        now: Micros,
    ) -> Vec<(EndpointKey, SwapTurn)> {
        self.end_turns(book, now);
        let mut begun = Vec::new();
        while let Some((key, turn)) = self.next_turn(book, now) {
            self.turns.insert(key, turn.clone());
            begun.push((key, turn));
        }
        begun
    }

    fn lack(
        &self,
        entry: &EndpointEntry,
    ) -> Option<(String, u64)> {
        let mut named = self.named.iter();
        let lacking = named.find(|(model, version)| {
            entry.weights.version(model).is_some_and(|known| known < **version)
        });
        lacking.map(|(model, version)| (model.clone(), *version))
    }

    fn end_turns(
        &mut self,
        book: &EndpointBook,
        now: Micros,
    ) {
        let missed = &mut self.missed;
        self.turns.retain(|key, turn| {
            let entry = book.get(*key).filter(|e| e.standing != EndpointStanding::Leaving);
            let Some(entry) = entry else {
                return false;
            };
            let has = entry.weights.version(&turn.model);
            if has.is_some_and(|has| has >= turn.version) {
                missed.remove(key);
                return false;
            }
            let is_over = now.since(turn.since) > TURN_LIMIT;
            if is_over {
                *missed.entry(*key).or_default() += 1;
            }
            !is_over
        });
        missed.retain(|key, _| book.get(*key).is_some());
    }

    /// The next engine, those that missed a turn last; all boxes go by the same
    /// order, so that their turns agree.
    fn next_turn(
        &self,
        book: &EndpointBook,
        now: Micros,
    ) -> Option<(EndpointKey, SwapTurn)> {
        let waits = |(key, entry): &(EndpointKey, &EndpointEntry)| {
            let heard = entry.fresh_load(now).is_some_and(|load| !load.is_silent);
            entry.standing != EndpointStanding::Leaving && heard && !self.turns.contains_key(key)
        };
        let mut next: Option<(u32, EndpointKey, String, u64)> = None;
        for (key, entry) in book.iter().filter(waits) {
            let Some((model, version)) = self.lack(entry) else {
                continue;
            };
            let in_group = |other: &&EndpointKey| {
                book.get(**other).is_some_and(|other| other.service == entry.service)
            };
            if self.turns.keys().filter(in_group).count() >= TURNS_AT_ONCE {
                continue;
            }
            let missed = self.missed.get(&key).copied().unwrap_or(0);
            if next.as_ref().is_none_or(|(least, ..)| missed < *least) {
                next = Some((missed, key, model, version));
            }
        }
        next.map(|(_, key, model, version)| {
            let turn = SwapTurn {
                model,
                version,
                since: now,
            };
            (key, turn)
        })
    }
}
