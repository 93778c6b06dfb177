//! Until when requests may begin on weights that newer ones have replaced.

use {
    super::{
        publication_records::{version_range, PublicationRecord},
        SwapPlanner, WeightBounds,
    },
    crate::time::Micros,
};

impl SwapPlanner {
    /// Time until no request may begin on a version any more; `None` where no newer one is
    /// named. It counts from when this box learned of it where nobody knows the age.
    pub fn begin_left(
        &self,
        model: &str,
        version: u64,
        limit: Micros,
        now: Micros,
    ) -> Option<Micros> {
        let naming = self.replaced_by(model, version)?;
        let known_for = now.since(naming.learned_at);
        Some(limit.since(naming.age(now).unwrap_or(known_for)))
    }

    /// Which versions a request may begin on, where weights may be used for `limit` after
    /// newer ones were named.
    ///
    /// Asked for each choice: a mark that is worked out for each engine from time to time
    /// is missing for one that has just been listed, and lets prompts begin too late.
    pub fn bounds(
        &self,
        model: &str,
        limit: Micros,
        now: Micros,
    ) -> WeightBounds {
        let namings = self.publications.range(version_range(model));
        let too_old = |((_, version), naming): (&(String, u64), &PublicationRecord)| {
            if naming.is_expired(limit, now) {
                return Some(*version);
            }
            // Of versions before those that it replaced nothing is known, unless their
            // naming is known as well.
            let after = naming.previous.unwrap_or(*version);
            let is_told = self.publications.contains_key(&(model.to_string(), after));
            let is_gap = naming.previous.is_none() || (after > 0 && !is_told);
            (is_gap && naming.is_report_overdue(limit, now)).then_some(after)
        };
        WeightBounds {
            newest: self.published_version(model),
            oldest: namings.filter_map(too_old).max(),
        }
    }
}
