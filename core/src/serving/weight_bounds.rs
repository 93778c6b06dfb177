/// Which versions of a model's weights a request may begin on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WeightBounds {
    /// Newest version that is named.
    pub newest: Option<u64>,
    /// Oldest version on which a request may still begin; `None` where any may do.
    pub oldest: Option<u64>,
}

impl WeightBounds {
    /// Whether a request may be sent to an engine that is believed to have a version.
    pub fn allows(
        &self,
        version: Option<u64>,
    ) -> bool {
        match (version, self.oldest) {
            (Some(version), Some(oldest)) => version >= oldest,
            // An engine of unknown weights begins only on what is expected of it.
            _ => true,
        }
    }

    /// Whether newer weights than a version are named.
    pub fn is_behind(
        &self,
        version: Option<u64>,
    ) -> bool {
        version < self.newest && version.is_some()
    }

    /// The version that a request expects of an engine; the engine proves that it did
    /// not begin where it has another. Nothing is expected where nothing is known and
    /// any version may do.
    pub fn expected(
        &self,
        version: Option<u64>,
    ) -> Option<u64> {
        version.or(self.oldest.and(self.newest))
    }
}
