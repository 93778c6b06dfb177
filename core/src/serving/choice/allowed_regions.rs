/// Regions in which a request may run and its state may be stored. The lists of the route and of
/// the organisation both apply, each if it is not empty.
#[derive(Debug, Clone, Copy, Default)]
pub struct AllowedRegions<'a> {
    /// Regions of the route; empty for all.
    pub route: &'a [String],
    /// Regions of the organisation; empty for all.
    pub organisation: &'a [String],
}

impl AllowedRegions<'_> {
    /// Whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.route.is_empty() && self.organisation.is_empty()
    }

    /// Whether the request may run and its state may be stored in a region. An unknown region is in
    /// no list.
    pub fn allows(
        &self,
        region: Option<&str>,
    ) -> bool {
        let contains =
            |allowed: &[String]| allowed.iter().any(|name| Some(name.as_str()) == region);
        let is_allowed = |allowed: &[String]| allowed.is_empty() || contains(allowed);
        is_allowed(self.route) && is_allowed(self.organisation)
    }
}
