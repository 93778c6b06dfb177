//! Publications of weights, and until when parts of older versions are fetched.

use {
    crate::serving::{
        store_reads::ReportedAge, PartId, ReclaimState, SwapPlanner, WeightPublication,
        MAX_REPORT_GAP, RECLAIM_TIMEOUT, VIEW_TTL,
    },
    crate::time::Micros,
    std::ops::RangeInclusive,
};

/// Time for which every part of a version is fetched from stores, counted from the last read that
/// showed no newer version: by then the first engines have the newer one.
const FULL_FETCH_PERIOD: Micros = Micros::from_secs(6);
/// Time over which fetches then end, part by part, while engines load the newer version and stores
/// need space for the newer parts. With [`FULL_FETCH_PERIOD`] it is slightly more than the
/// platform's limit for older weights (10 to 15 s). A compromise: a longer time is better right
/// after a publication, a shorter one some seconds later.
const FETCH_PHASE_OUT: Micros = Micros::from_secs(10);
/// Time from the end of the fetches until another box frees a part: the longest fetch
/// ([`VIEW_TTL`]) plus a pause that reports do not show.
const FREE_MARGIN: Micros = Micros(VIEW_TTL.0 + MAX_REPORT_GAP.0);

/// Time after a publication from which on every read of the rows shows it: several times the delay
/// of the store.
const ROW_READ_LAG: Micros = Micros::from_millis(500);

/// Multiplier that distributes numbers evenly (an odd number near 2^64 divided by the golden
/// ratio).
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Time within which other boxes report publications from before this box started. A version that
/// no box has reported by then counts as expired: if a front counted from its own start, requests
/// could begin on replaced weights for a whole limit longer.
pub const REPORT_TIMEOUT: Micros = Micros::from_secs(2);

/// Publications reported per model: versions are published at least some seconds apart, and an
/// engine with weights older than these receives no requests.
const MAX_REPORTED_PUBLICATIONS: usize = 6;

/// A publication as known to this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::serving) struct PublicationRecord {
    /// Newest version before it, if known; 0 if there was none.
    pub(in crate::serving) previous: Option<u64>,
    last_absent_at: Option<Micros>,
    pub(in crate::serving) learned_at: Micros,
    reported: Option<ReportedAge>,
}

impl PublicationRecord {
    /// Longest time for which the weights can have been published, if known.
    pub(in crate::serving) fn age(
        &self,
        now: Micros,
    ) -> Option<Micros> {
        ReportedAge::min_age(self.last_absent_at, self.reported, now)
    }

    /// Whether the weights may have been published for longer than `limit`.
    pub(in crate::serving) fn is_expired(
        &self,
        limit: Micros,
        now: Micros,
    ) -> bool {
        match self.age(now) {
            Some(age) => age > limit,
            None => self.is_report_overdue(limit, now),
        }
    }

    /// Whether other boxes have had time to report what this box does not know.
    pub(in crate::serving) fn is_report_overdue(
        &self,
        limit: Micros,
        now: Micros,
    ) -> bool {
        now.since(self.learned_at) > REPORT_TIMEOUT.min(limit)
    }
}

/// Time for which a part is fetched after newer weights may have been published. All boxes derive
/// it from the part alone.
fn fetch_period(part: PartId) -> Micros {
    // Ids may be consecutive: the fetches of neighbours must not end together.
    let spread = part.value().wrapping_mul(SPREAD_FACTOR).rotate_left(32);
    FULL_FETCH_PERIOD + Micros(spread % FETCH_PHASE_OUT.0)
}

impl SwapPlanner {
    /// Records that weights are published. Returns true if that is new.
    ///
    /// `last_absent_at` is the send time of the last read that did not show them.
    pub fn publish(
        &mut self,
        model: &str,
        version: u64,
        last_absent_at: Option<Micros>,
        now: Micros,
    ) -> bool {
        let before = self.published_version(model).unwrap_or(0);
        if version <= before {
            return false;
        }
        self.published.insert(model.to_string(), version);
        let publication = PublicationRecord {
            // A read that showed no publication proves that there was none.
            previous: Some(before).filter(|before| *before > 0 || last_absent_at.is_some()),
            last_absent_at,
            learned_at: now,
            reported: None,
        };
        self.publications
            .insert((model.to_string(), version), publication);
        true
    }

    /// Records that a version had been published for at most `age` at the time `at`.
    pub fn record_age(
        &mut self,
        model: &str,
        version: u64,
        age: Micros,
        at: Micros,
    ) {
        let publication = self.publications.get_mut(&(model.to_string(), version));
        if let Some(publication) =
            publication.filter(|publication| publication.age(at).is_none_or(|a| age < a))
        {
            publication.reported = Some(ReportedAge { age, at });
        }
    }

    /// Records a publication that another box knew at the time `at`. Those older than the newest
    /// count too, as engines may still have older weights.
    pub fn record_publication(
        &mut self,
        reported: &WeightPublication,
        at: Micros,
        now: Micros,
    ) {
        let model = reported.model.as_str();
        let is_newest = self
            .published_version(model)
            .is_none_or(|published| reported.version > published);
        if is_newest {
            self.published.insert(model.to_string(), reported.version);
        }
        let publication = self
            .publications
            .entry((model.to_string(), reported.version));
        let publication = publication.or_insert(PublicationRecord {
            previous: None,
            last_absent_at: None,
            learned_at: now,
            reported: None,
        });
        // An age applies only to versions from `previous` on. Older ones may have been replaced
        // earlier, by a version that this box or the other one does not know.
        match (publication.previous, reported.previous) {
            (Some(_), None) => return,
            (None, Some(_)) => publication.reported = None,
            _ => {}
        }
        publication.previous = publication.previous.max(reported.previous);
        if let Some(age) = reported.age {
            self.record_age(model, reported.version, age, at);
        }
    }

    /// Newest publications of each model known to this box, at most `MAX_REPORTED_PUBLICATIONS`.
    pub fn recent_publications(
        &self,
        now: Micros,
    ) -> Vec<WeightPublication> {
        let mut recent = Vec::new();
        for model in self.published.keys() {
            let publications = self.publications.range(version_range(model)).rev();
            let report = |((model, version), publication): (&(String, u64), &PublicationRecord)| {
                WeightPublication {
                    model: model.clone(),
                    version: *version,
                    previous: publication.previous,
                    age: publication.age(now),
                }
            };
            recent.extend(publications.take(MAX_REPORTED_PUBLICATIONS).map(report));
        }
        recent
    }

    /// Whether an upper bound of the age and the previous version are known for the newest
    /// publication of every model.
    pub fn knows_ages(
        &self,
        now: Micros,
    ) -> bool {
        let newest = |(model, version): (&String, &u64)| {
            let publication = self.publications.get(&(model.clone(), *version));
            publication.is_some_and(|publication| {
                publication.age(now).is_some() && publication.previous.is_some()
            })
        };
        self.published.iter().all(newest)
    }

    /// Records that an engine has some weights. Returns true if they count as published from now
    /// on. Engines load only published weights, but the row may have been set back: the write of an
    /// older publication can be applied after that of a newer one.
    ///
    /// `proven_at` is the send time of the last read of the rows. The time of the publication is
    /// unknown in this case, so no parts of older versions are fetched any more.
    pub fn record_engine_version(
        &mut self,
        model: &str,
        version: u64,
        proven_at: Option<Micros>,
        now: Micros,
    ) -> bool {
        if self
            .published_version(model)
            .is_some_and(|published| version <= published)
        {
            return false;
        }
        let seen = self.unpublished.entry((model.to_string(), version));
        let seen_at = *seen.or_insert(now);
        let row_lacks_it = proven_at.is_some_and(|at| at > seen_at + ROW_READ_LAG);
        row_lacks_it && self.publish(model, version, None, now)
    }

    /// Whether a part made under a version may still be fetched from stores.
    ///
    /// Other boxes free parts some time after newer weights are published, whether or not this box
    /// has read of it. The time therefore counts from when this box last knew that no newer weights
    /// were published.
    pub fn may_fetch(
        &self,
        model: &str,
        version: u64,
        part: PartId,
        proven_at: Option<Micros>,
        now: Micros,
    ) -> bool {
        let last_absent_at = match self.replaced_by(model, version) {
            Some(publication) => publication.last_absent_at,
            None => proven_at,
        };
        last_absent_at.is_some_and(|at| now.since(at) < fetch_period(part))
    }

    /// Reclaim state of a part made under a version. It may be freed once no box requests fetches
    /// of it any more, and the engines that may have fetched it have proven that their fetches have
    /// ended.
    ///
    /// `completed_until_ms` is the time up to which they have proven it
    /// ([`crate::serving::FetchCompletion::completed_until_ms`]); `clock_ms` is an upper bound of the
    /// engines' clock at `now`.
    pub fn reclaim_state(
        &self,
        model: &str,
        version: u64,
        part: PartId,
        completed_until_ms: u64,
        clock_ms: Option<u64>,
        now: Micros,
    ) -> ReclaimState {
        let Some(publication) = self.replaced_by(model, version) else {
            return ReclaimState::Fetchable;
        };
        let fetches_end_at = publication.learned_at + fetch_period(part) + FREE_MARGIN;
        if now <= fetches_end_at {
            return ReclaimState::Fetchable;
        }
        let since_end = now.since(fetches_end_at);
        // A box that did not read the rows before the publication does not know which engines may
        // be fetching.
        let knows_fetchers = publication.last_absent_at.is_some();
        let fetches_end_ms = clock_ms.map(|clock| clock.saturating_sub(since_end.as_millis()));
        let is_proven = fetches_end_ms.is_some_and(|end| completed_until_ms > end);
        match since_end > RECLAIM_TIMEOUT || (knows_fetchers && is_proven) {
            true => ReclaimState::Reclaimable,
            false => ReclaimState::Draining,
        }
    }

    pub(in crate::serving) fn replaced_by(
        &self,
        model: &str,
        version: u64,
    ) -> Option<&PublicationRecord> {
        let first = version.checked_add(1)?;
        let later = (model.to_string(), first)..=(model.to_string(), u64::MAX);
        self.publications
            .range(later)
            .next()
            .map(|(_, publication)| publication)
    }

    /// Newest published version of a model.
    pub fn published_version(
        &self,
        model: &str,
    ) -> Option<u64> {
        self.published.get(model).copied()
    }

    /// Longest time for which the newest weights of a model can have been published, if known.
    pub fn published_age(
        &self,
        model: &str,
        now: Micros,
    ) -> Option<Micros> {
        let newest = (model.to_string(), self.published_version(model)?);
        let publication = self.publications.get(&newest)?;
        publication.age(now)
    }

    /// All published weights.
    pub fn published_versions(&self) -> impl Iterator<Item = (&str, u64)> {
        self.published
            .iter()
            .map(|(model, version)| (model.as_str(), *version))
    }
}

pub(in crate::serving) fn version_range(model: &str) -> RangeInclusive<(String, u64)> {
    (model.to_string(), 0)..=(model.to_string(), u64::MAX)
}
