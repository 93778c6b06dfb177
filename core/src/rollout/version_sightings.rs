use {crate::time::Micros, std::collections::BTreeMap};

/// Software versions that were listed, by service, and which of them may belong to a roll-out whose
/// order has not been read yet.
///
/// The list of endpoints and the operators' orders are read at different times, so the endpoints of
/// a roll-out may be listed before its order is known.
#[derive(Debug, Clone, Default)]
pub struct VersionSightings {
    seen: BTreeMap<String, Vec<String>>,
    /// Version of a service, and when it was first listed.
    unsettled: Vec<(String, String, Micros)>,
}

impl VersionSightings {
    /// Whether a version of a service was listed before.
    pub fn contains(
        &self,
        service: &str,
        version: &str,
    ) -> bool {
        let versions = self.seen.get(service);
        versions.is_some_and(|versions| versions.iter().any(|seen| seen == version))
    }

    /// Records that a version is listed; `is_main` is whether no other version of the service has
    /// as many endpoints.
    pub fn record(
        &mut self,
        service: &str,
        version: &str,
        is_main: bool,
        now: Micros,
    ) {
        if self.contains(service, version) {
            return;
        }
        let versions = self.seen.entry(service.to_string()).or_default();
        versions.push(version.to_string());
        if !is_main {
            self.unsettled
                .push((service.to_string(), version.to_string(), now));
        }
    }

    /// Records that the operators' orders are known as of a time.
    pub fn settle(
        &mut self,
        orders_known_at: Micros,
    ) {
        self.unsettled.retain(|(_, _, at)| *at > orders_known_at);
    }

    /// Versions of a service that may belong to an unknown roll-out.
    pub fn unsettled<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        let of_service = self.unsettled.iter().filter(move |(s, _, _)| s == service);
        of_service.map(|(_, version, _)| version.as_str())
    }

    /// Whether no version may belong to an unknown roll-out.
    pub fn is_settled(&self) -> bool {
        self.unsettled.is_empty()
    }
}
