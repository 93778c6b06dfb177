/// Regions in which a request may run and its state may be kept: those that its route names and
/// those that its organisation names. Each of the two that names any binds.
#[derive(Debug, Clone, Copy, Default)]
pub struct HomeRegions<'a> {
    /// Regions of the route; empty where it names none.
    pub route: &'a [String],
    /// Regions of the organisation; empty where it names none.
    pub organisation: &'a [String],
}

impl HomeRegions<'_> {
    /// Whether nobody names any.
    pub fn is_open(&self) -> bool {
        self.route.is_empty() && self.organisation.is_empty()
    }

    /// Whether the request may run, and its state be kept, in a region; one that is not known is
    /// nobody's.
    pub fn allow(
        &self,
        region: Option<&str>,
    ) -> bool {
        let names = |homes: &[String]| homes.iter().any(|home| Some(home.as_str()) == region);
        let is_named = |homes: &[String]| homes.is_empty() || names(homes);
        is_named(self.route) && is_named(self.organisation)
    }
}
