/// Software versions whose endpoints may receive a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionFilter {
    /// The only version that may.
    pub only: Option<String>,
    /// Versions that may not.
    pub excluded: Vec<String>,
}

impl VersionFilter {
    /// Filter that admits one version.
    pub fn only(version: &str) -> Self {
        VersionFilter {
            only: Some(version.to_string()),
            excluded: Vec::new(),
        }
    }

    /// Filter that admits all but some versions.
    pub fn except(excluded: Vec<String>) -> Self {
        VersionFilter {
            only: None,
            excluded,
        }
    }

    /// Whether an endpoint of a version may receive the request.
    pub fn admits(
        &self,
        version: &str,
    ) -> bool {
        let is_excluded = self.excluded.iter().any(|excluded| excluded == version);
        !is_excluded && self.only.as_ref().is_none_or(|only| only == version)
    }
}

/// Filters of a request in the order in which they are tried: the next one applies if no endpoint
/// that the one before admits can take the request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionPreference {
    /// Versions that the request goes to if possible.
    pub preferred: VersionFilter,
    /// Versions that it goes to otherwise.
    pub fallback: Option<VersionFilter>,
    /// Whether the request goes to the few endpoints on which the target version is compared.
    pub is_comparison: bool,
}

impl VersionPreference {
    /// Preference without a fallback.
    pub fn fixed(filter: VersionFilter) -> Self {
        VersionPreference {
            preferred: filter,
            fallback: None,
            is_comparison: false,
        }
    }
}
