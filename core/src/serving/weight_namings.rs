//! Which weights are named, and until when parts of older ones are fetched.

use {
    super::{PartId, SwapPlanner, WeightBounds, VIEW_LIFE},
    crate::time::Micros,
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
/// longest fetch ([`VIEW_LIFE`]) and half a second.
const FREE_MARGIN: Micros = Micros(VIEW_LIFE.0 + 500_000);

/// Time after which a reading must show a naming that came before. By judgement:
/// several times what the store takes.
const ROW_LAG: Micros = Micros::from_millis(500);

/// Spreads numbers evenly (an odd number near 2^64 over the golden ratio).
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Time in which others tell a box for how long weights have been named that were
/// named before it started. What nobody tells counts as named for too long then: a box
/// that counted from its own start let requests begin on replaced weights for a whole
/// limit more.
const TELL_LIMIT: Micros = Micros::from_secs(2);

/// When this box learned of named weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Naming {
    not_yet: Option<Micros>,
    learned_at: Micros,
    told: Option<ToldAge>,
}

/// For how long at most weights had been named, as others tell, and when they did. It
/// may reach back to before this process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ToldAge {
    age: Micros,
    at: Micros,
}

impl Naming {
    /// For how long at most the weights have been named, where that is known.
    fn age(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        let read = self.not_yet.map(|at| now.since(at));
        let told = self.told.map(|told| told.age + now.since(told.at));
        match (read, told) {
            (Some(read), Some(told)) => Some(read.min(told)),
            _ => read.or(told),
        }
    }

    /// Whether the weights may have been named for longer than `limit`.
    fn is_over(
        &self,
        limit: Micros,
        now: Micros,
    ) -> bool {
        match self.age(now) {
            Some(age) => age > limit,
            None => now.since(self.learned_at) > TELL_LIMIT.min(limit),
        }
    }
}

/// For how long a part is fetched after newer weights may have been named; all
/// boxes know it from the part alone.
fn fetch_life(part: PartId) -> Micros {
    // Ids may be counted up: neighbours must not end together.
    let spread = part.number().wrapping_mul(SPREAD_FACTOR).rotate_left(32);
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
            not_yet,
            learned_at: now,
            told: None,
        };
        self.namings.insert((model.to_string(), version), naming);
        true
    }

    /// Takes that the newest weights of a model have been named for `age` at most.
    pub fn tell_age(
        &mut self,
        model: &str,
        age: Micros,
        now: Micros,
    ) {
        let Some(version) = self.named(model) else {
            return;
        };
        let naming = self.namings.get_mut(&(model.to_string(), version));
        if let Some(naming) = naming.filter(|naming| naming.age(now).is_none_or(|a| age < a)) {
            naming.told = Some(ToldAge { age, at: now });
        }
    }

    /// Whether it is known of all newest weights for how long at most they have been named.
    pub fn knows_ages(
        &self,
        now: Micros,
    ) -> bool {
        let mut named = self.named.keys();
        named.all(|model| self.named_age(model, now).is_some())
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

    /// Whether no box fetches a part made under a version any more.
    pub fn may_free(
        &self,
        model: &str,
        version: u64,
        part: PartId,
        now: Micros,
    ) -> bool {
        let naming = self.replaced_by(model, version);
        let free_after = fetch_life(part) + FREE_MARGIN;
        naming.is_some_and(|naming| now.since(naming.learned_at) > free_after)
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

    /// Which versions a request may begin on, where weights may be used for `limit` after
    /// newer ones were named.
    ///
    /// Asked for each choice: what was worked out for each engine from time to time was
    /// missing for those that had just been listed, and prompts began on replaced weights.
    pub fn bounds(
        &self,
        model: &str,
        limit: Micros,
        now: Micros,
    ) -> WeightBounds {
        let all = (model.to_string(), 0)..=(model.to_string(), u64::MAX);
        let over = self.namings.range(all).rev();
        let mut over = over.filter(|(_, naming)| naming.is_over(limit, now));
        WeightBounds {
            newest: self.named(model),
            oldest: over.next().map(|((_, version), _)| *version),
        }
    }
}
