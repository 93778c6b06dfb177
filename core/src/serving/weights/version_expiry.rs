//! Time limit for starting requests on weights that a newer version has replaced.

use {
    super::publication_records::{version_range, PublicationRecord},
    crate::serving::{SwapPlanner, WeightBounds},
    crate::time::Micros,
};

impl SwapPlanner {
    /// Time until requests may no longer start on a version; `None` if no newer version is
    /// published. Where the age of the newer version is unknown, it counts from when this box
    /// learned of it.
    pub fn time_to_expiry(
        &self,
        model: &str,
        version: u64,
        limit: Micros,
        now: Micros,
    ) -> Option<Micros> {
        let publication = self.replaced_by(model, version)?;
        let known_for = now.since(publication.learned_at);
        Some(limit.since(publication.age(now).unwrap_or(known_for)))
    }

    /// Versions that a request may start on, if weights may be used for `limit` after a newer
    /// version was published.
    ///
    /// Computed for each choice: a flag per engine that is updated periodically would be missing on
    /// an engine that has just been listed, and prompts would start on weights that have expired.
    pub fn bounds(
        &self,
        model: &str,
        limit: Micros,
        now: Micros,
    ) -> WeightBounds {
        let publications = self.publications.range(version_range(model));
        let too_old = |((_, version), publication): (&(String, u64), &PublicationRecord)| {
            if publication.is_expired(limit, now) {
                return Some(*version);
            }
            // The age does not apply to versions older than the previous one. They count as expired
            // if the publication of the previous one is still unknown after the report timeout.
            let previous = publication.previous.unwrap_or(*version);
            let is_published = self
                .publications
                .contains_key(&(model.to_string(), previous));
            let is_gap = publication.previous.is_none() || (previous > 0 && !is_published);
            (is_gap && publication.is_report_overdue(limit, now)).then_some(previous)
        };
        WeightBounds {
            newest: self.published_version(model),
            oldest: publications.filter_map(too_old).max(),
        }
    }
}
