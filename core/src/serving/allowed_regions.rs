/// Regions in which a request may run and its state may be kept: those that its route names and
/// those that its organisation names. Each of the two that names any binds.
#[derive(Debug, Clone, Copy, Default)]
pub struct AllowedRegions<'a> {
    /// Regions of the route; empty where it names none.
    pub route: &'a [String],
    /// Regions of the organisation; empty where it names none.
    pub organisation: &'a [String],
}

impl AllowedRegions<'_> {
    /// Whether nobody names any.
    pub fn is_unrestricted(&self) -> bool {
        self.route.is_empty() && self.organisation.is_empty()
    }

    /// Whether the request may run, and its state be kept, in a region; one that is not known is
    /// nobody's.
    pub fn allows(
        &self,
        region: Option<&str>,
    ) -> bool {
        let names = |allowed: &[String]| allowed.iter().any(|name| Some(name.as_str()) == region);
        let is_named = |allowed: &[String]| allowed.is_empty() || names(allowed);
        is_named(self.route) && is_named(self.organisation)
    }
}
