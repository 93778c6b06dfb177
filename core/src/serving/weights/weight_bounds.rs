/// Versions of a model's weights on which a request may begin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WeightBounds {
    /// Newest published version.
    pub newest: Option<u64>,
    /// Oldest version on which a request may still begin; `None` if there is no limit.
    pub oldest: Option<u64>,
}

impl WeightBounds {
    /// Whether a request may be sent to an engine that is believed to have `version`.
    pub fn allows(
        &self,
        version: Option<u64>,
    ) -> bool {
        match (version, self.oldest) {
            (Some(version), Some(oldest)) => version >= oldest,
            // An engine whose weights are unknown begins only on the version that the request
            // expects.
            _ => true,
        }
    }

    /// Whether weights newer than `version` are published.
    pub fn is_outdated(
        &self,
        version: Option<u64>,
    ) -> bool {
        version < self.newest && version.is_some()
    }

    /// Version that a request expects of an engine; an engine with another version proves that it
    /// did not begin. `None` if the engine's version is unknown and any version is allowed.
    pub fn expected(
        &self,
        version: Option<u64>,
    ) -> Option<u64> {
        version.or(self.oldest.and(self.newest))
    }
}
