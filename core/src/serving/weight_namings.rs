//! Publications of weights, and until when parts of older versions are fetched.

use {
    super::{
        told_age::ToldAge, PartFate, PartId, SwapPlanner, ToldNaming, AWAKE_GAP, HOLD_LIMIT,
        VIEW_LIFE,
    },
    crate::time::Micros,
    std::ops::RangeInclusive,
};

/// Time for which every part of a version is fetched from stores, counted from the last read that
/// showed no newer version: by then the first engines have the newer one.
const FETCH_ALL: Micros = Micros::from_secs(6);
/// Time over which the fetches of its parts then end one after the other, while engines change
/// over and stores need room for parts of the newer version. With [`FETCH_ALL`] it is slightly
/// more than the platform's limit for older weights (10 to 15 s). A compromise: a longer time is
/// better right after a publication, a shorter one some seconds later.
const FETCH_FADE: Micros = Micros::from_secs(10);
/// Time from the end of the fetches until another box frees a part: the longest fetch
/// ([`VIEW_LIFE`]) plus a pause that reports do not show.
const FREE_MARGIN: Micros = Micros(VIEW_LIFE.0 + AWAKE_GAP.0);

/// Time after which a read must show an earlier publication: several times the delay of the store.
const ROW_LAG: Micros = Micros::from_millis(500);

/// Spreads numbers evenly (an odd number near 2^64 over the golden ratio).
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Time within which other boxes report publications from before this box started. A version that
/// nobody reports then counts as expired: if a front counted from its own start, requests could
/// begin on replaced weights for a whole limit longer.
pub const TELL_LIMIT: Micros = Micros::from_secs(2);

/// Publications reported per model: versions are published at least some seconds apart, and an
/// engine with weights older than these gets no requests.
const TOLD_NAMINGS: usize = 6;

/// What this box knows of a publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Naming {
    /// Newest version before it, if known; 0 if there was none.
    pub(super) after: Option<u64>,
    not_yet: Option<Micros>,
    pub(super) learned_at: Micros,
    told: Option<ToldAge>,
}

impl Naming {
    /// Longest time for which the weights can have been published, if known.
    pub(super) fn age(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        ToldAge::least(self.not_yet, self.told, now)
    }

    /// Whether the weights may have been published for longer than `limit`.
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

    /// Whether other boxes have had time to report what this box does not know.
    pub(super) fn is_untold(
        &self,
        limit: Micros,
        now: Micros,
    ) -> bool {
        now.since(self.learned_at) > TELL_LIMIT.min(limit)
    }
}

/// Time for which a part is fetched after newer weights may have been published. All boxes derive
/// it from the part alone.
fn fetch_life(part: PartId) -> Micros {
    // Ids may be consecutive: the fetches of neighbours must not end together.
    let spread = part.number().wrapping_mul(SPREAD_FACTOR).rotate_left(32);
    FETCH_ALL + Micros(spread % FETCH_FADE.0)
}

impl SwapPlanner {
    /// Records that weights are published. Returns true if that is new.
    ///
    /// `not_yet` is the send time of the last read that did not show them.
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
            // A read that showed no publication proves that there was none.
            after: Some(before).filter(|before| *before > 0 || not_yet.is_some()),
            not_yet,
            learned_at: now,
            told: None,
        };
        self.namings.insert((model.to_string(), version), naming);
        true
    }

    /// Records that a version had been published for at most `age` at the time `at`.
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

    /// Records a publication that another box knew at the time `at`, including one older than the
    /// newest, as engines may have weights from before it.
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
        // An age holds only for the weights from `after` on: before those, another version may
        // have been published that this box, or the other one, does not know.
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

    /// Newest publications of each model known to this box, at most [`TOLD_NAMINGS`].
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

    /// Whether the age limit and the previous version of the newest publication of every model are
    /// known.
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

    /// Records that an engine has some weights. Returns true if they count as published from now
    /// on. Engines load only published weights, but the row may have been set back: an older
    /// publication can be carried out after a newer one.
    ///
    /// `proven_at` is the send time of the last read of the rows. The time of the publication is
    /// unknown in this case, so no parts of older versions are fetched any more.
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
    /// Other boxes free parts some time after newer weights are published, whether or not this box
    /// has read of it. The time therefore counts from when this box last knew that there were
    /// none.
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

    /// Whether a part made under a version is still fetched, held or over. It may be freed once no
    /// box tells an engine to fetch it, and the engines that were told have proven that their
    /// fetches are over.
    ///
    /// `reads_over_ms` is the time for which they have proven it
    /// ([`super::ReadProofs::over_until_ms`]); `clock_ms` is an upper bound of the engines' clock
    /// at `now`.
    pub fn fate(
        &self,
        model: &str,
        version: u64,
        part: PartId,
        reads_over_ms: u64,
        clock_ms: Option<u64>,
        now: Micros,
    ) -> PartFate {
        let Some(naming) = self.replaced_by(model, version) else {
            return PartFate::Fetched;
        };
        let over_at = naming.learned_at + fetch_life(part) + FREE_MARGIN;
        if now <= over_at {
            return PartFate::Fetched;
        }
        let past = now.since(over_at);
        // A box that does not know the time before the publication does not know which engines
        // were told to fetch.
        let knows_told = naming.not_yet.is_some();
        let over_ms = clock_ms.map(|clock| clock.saturating_sub(past.as_millis()));
        let is_proven = over_ms.is_some_and(|over| reads_over_ms > over);
        match past > HOLD_LIMIT || (knows_told && is_proven) {
            true => PartFate::Over,
            false => PartFate::Held,
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

    /// Newest published version of a model.
    pub fn named(
        &self,
        model: &str,
    ) -> Option<u64> {
        self.named.get(model).copied()
    }

    /// Longest time for which the newest weights of a model can have been published, if known.
    pub fn named_age(
        &self,
        model: &str,
        now: Micros,
    ) -> Option<Micros> {
        let newest = (model.to_string(), self.named(model)?);
        let naming = self.namings.get(&newest)?;
        naming.age(now)
    }

    /// All published weights.
    pub fn all_named(&self) -> impl Iterator<Item = (&str, u64)> {
        self.named
            .iter()
            .map(|(model, version)| (model.as_str(), *version))
    }
}

pub(super) fn versions_of(model: &str) -> RangeInclusive<(String, u64)> {
    (model.to_string(), 0)..=(model.to_string(), u64::MAX)
}
