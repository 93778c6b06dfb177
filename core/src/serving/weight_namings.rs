//! Which weights are named, and until when parts of older ones are fetched.

use {
    super::{
        told_age::ToldAge, PartId, ReclaimState, SwapPlanner, ToldNaming, AWAKE_GAP, HOLD_LIMIT,
        VIEW_LIFE,
    },
    crate::time::Micros,
    std::ops::RangeInclusive,
};

/// Time for which every part of a version is fetched from stores, from the last
/// reading that showed no newer one: by then the first engines have that.
const FETCH_ALL: Micros = Micros::from_secs(6);
/// Time over which the fetches of its parts end, one after the other, as engines
/// go over and stores need room for parts of the newer version. Together the
/// platform's limit for older weights (10 to 15 s) and a little more. By judgement, a
/// compromise: longer is better right after a naming, shorter some seconds later.
const FETCH_FADE: Micros = Micros::from_secs(10);
/// Time from the end of the fetches until a part is freed, on another box: the
/// longest fetch ([`VIEW_TTL`]) and a standstill that reports do not show.
const FREE_MARGIN: Micros = Micros(VIEW_LIFE.0 + AWAKE_GAP.0);

/// Time after which a reading must show a naming that came before. By judgement:
/// several times what the store takes.
const ROW_LAG: Micros = Micros::from_millis(500);

/// Spreads numbers evenly (an odd number near 2^64 over the golden ratio).
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Time in which others tell a box of namings from before it started. What nobody tells
/// counts as named for too long then: a front that counts from its own start lets
/// requests begin on replaced weights for a whole limit more.
pub const TELL_LIMIT: Micros = Micros::from_secs(2);

/// Namings of a model that are handed on: weights are named some seconds apart at the
/// quickest, and an engine that has older ones than these gets nothing.
const TOLD_NAMINGS: usize = 6;

/// When this box learned of named weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Naming {
    /// Newest version until then, where that is known; 0 where none was named.
    pub(super) after: Option<u64>,
    not_yet: Option<Micros>,
    pub(super) learned_at: Micros,
    told: Option<ToldAge>,
}

impl Naming {
    /// For how long at most the weights have been named, where that is known.
    pub(super) fn age(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        ToldAge::least(self.not_yet, self.told, now)
    }

    /// Whether the weights may have been named for longer than `limit`.
    pub(super) fn is_over(
        &self,
        limit: Micros,
        now: Micros,
    ) -> bool {
        match self.age(now) {
            Some(age) => age > limit,
            None => self.is_untold(limit, now),
        }
    }

    /// Whether others had the time to tell what this box does not know.
    pub(super) fn is_untold(
        &self,
        limit: Micros,
        now: Micros,
    ) -> bool {
        now.since(self.learned_at) > TELL_LIMIT.min(limit)
    }
}

/// For how long a part is fetched after newer weights may have been named; all
/// boxes know it from the part alone.
fn fetch_life(part: PartId) -> Micros {
    // Ids may be counted up: neighbours must not end together.
    let spread = part.value().wrapping_mul(SPREAD_FACTOR).rotate_left(32);
    FETCH_ALL + Micros(spread % FETCH_FADE.0)
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
            // A reading that showed no naming proves that there was none.
            after: Some(before).filter(|before| *before > 0 || not_yet.is_some()),
            not_yet,
            learned_at: now,
            told: None,
        };
        self.namings.insert((model.to_string(), version), naming);
        true
    }

    /// Takes that a version had been named for `age` at most at the time `at`.
    pub fn tell_age(
        &mut self,
        model: &str,
        version: u64,
        age: Micros,
        at: Micros,
    ) {
        let naming = self.namings.get_mut(&(model.to_string(), version));
        if let Some(naming) = naming.filter(|naming| naming.age(at).is_none_or(|a| age < a)) {
            naming.told = Some(ToldAge { age, at });
        }
    }

    /// Takes a naming that another box knew at the time `at`; also one from before the
    /// newest one, as engines may have the weights from before that.
    pub fn tell(
        &mut self,
        told: &ToldNaming,
        at: Micros,
        now: Micros,
    ) {
        let model = told.model.as_str();
        let is_newest = self.named(model).is_none_or(|named| told.version > named);
        if is_newest {
            self.named.insert(model.to_string(), told.version);
        }
        let naming = self.namings.entry((model.to_string(), told.version));
        let naming = naming.or_insert(Naming {
            after: None,
            not_yet: None,
            learned_at: now,
            told: None,
        });
        // An age holds for the weights from `after` on only: before those, another version
        // may have been named that this box, or the other one, has not heard of.
        match (naming.after, told.after) {
            (Some(_), None) => return,
            (None, Some(_)) => naming.told = None,
            _ => {}
        }
        naming.after = naming.after.max(told.after);
        if let Some(age) = told.age {
            self.tell_age(model, told.version, age, at);
        }
    }

    /// The newest namings of each model, [`MAX_REPORTED_PUBLICATIONS`] at most, as this box knows them.
    pub fn told_namings(
        &self,
        now: Micros,
    ) -> Vec<ToldNaming> {
        let mut told = Vec::new();
        for model in self.named.keys() {
            let namings = self.namings.range(versions_of(model)).rev();
            let tell = |((model, version), naming): (&(String, u64), &Naming)| ToldNaming {
                model: model.clone(),
                version: *version,
                after: naming.after,
                age: naming.age(now),
            };
            told.extend(namings.take(TOLD_NAMINGS).map(tell));
        }
        told
    }

    /// Whether it is known of all newest weights for how long at most they have been
    /// named, and which were the newest before.
    pub fn knows_ages(
        &self,
        now: Micros,
    ) -> bool {
        let newest = |(model, version): (&String, &u64)| {
            let naming = self.namings.get(&(model.clone(), *version));
            naming.is_some_and(|naming| naming.age(now).is_some() && naming.after.is_some())
        };
        self.named.iter().all(newest)
    }

    /// Takes that an engine has some weights; true where they count as named from
    /// now on. Engines load only what was named, but the row that names it may have
    /// gone back: an older naming can be carried out after a newer one.
    ///
    /// `proven_at` is when the last reading of the rows was sent. When it was named
    /// is not known then, so no parts of older versions are fetched any more.
    pub fn engine_has(
        &mut self,
        model: &str,
        version: u64,
        proven_at: Option<Micros>,
        now: Micros,
    ) -> bool {
        if self.named(model).is_some_and(|named| version <= named) {
            return false;
        }
        let seen = self.ahead.entry((model.to_string(), version));
        let seen_at = *seen.or_insert(now);
        let row_lacks_it = proven_at.is_some_and(|at| at > seen_at + ROW_LAG);
        row_lacks_it && self.name(model, version, None, now)
    }

    /// Whether a part made under a version may still be fetched from stores.
    ///
    /// They are freed some time after newer weights are named, whatever this box
    /// has heard of it, so what counts is when it last knew of none.
    pub fn may_fetch(
        &self,
        model: &str,
        version: u64,
        part: PartId,
        proven_at: Option<Micros>,
        now: Micros,
    ) -> bool {
        let known = match self.replaced_by(model, version) {
            Some(naming) => naming.not_yet,
            None => proven_at,
        };
        known.is_some_and(|at| now.since(at) < fetch_life(part))
    }

    /// What becomes of a part made under a version. It may be freed once no box tells an
    /// engine to fetch it, and those that were told have proven that they are done.
    ///
    /// `reads_over_ms` tells for what time they have ([`super::FetchCompletion::over_until_ms`]),
    /// `clock_ms` is a time on the engines' clock that is not over at `now`.
    pub fn fate(
        &self,
        model: &str,
        version: u64,
        part: PartId,
        reads_over_ms: u64,
        clock_ms: Option<u64>,
        now: Micros,
    ) -> ReclaimState {
        let Some(naming) = self.replaced_by(model, version) else {
            return ReclaimState::Fetchable;
        };
        let over_at = naming.learned_at + fetch_life(part) + FREE_MARGIN;
        if now <= over_at {
            return ReclaimState::Fetchable;
        }
        let past = now.since(over_at);
        // A box that knows nothing of the time before does not know who was told.
        let knows_told = naming.not_yet.is_some();
        let over_ms = clock_ms.map(|clock| clock.saturating_sub(past.as_millis()));
        let is_proven = over_ms.is_some_and(|over| reads_over_ms > over);
        match past > HOLD_LIMIT || (knows_told && is_proven) {
            true => ReclaimState::Reclaimable,
            false => ReclaimState::Draining,
        }
    }

    pub(super) fn replaced_by(
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

    /// Longest time for which the newest weights of a model may have been named, where
    /// that is known.
    pub fn named_age(
        &self,
        model: &str,
        now: Micros,
    ) -> Option<Micros> {
        let newest = (model.to_string(), self.named(model)?);
        let naming = self.namings.get(&newest)?;
        naming.age(now)
    }

    /// All named weights.
    pub fn all_named(&self) -> impl Iterator<Item = (&str, u64)> {
        self.named
            .iter()
            .map(|(model, version)| (model.as_str(), *version))
    }
}

pub(super) fn versions_of(model: &str) -> RangeInclusive<(String, u64)> {
    (model.to_string(), 0)..=(model.to_string(), u64::MAX)
}
