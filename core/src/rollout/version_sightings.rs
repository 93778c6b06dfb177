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

    /// Records which versions are listed: the number of serving endpoints by service and version.
    ///
    /// A version is settled at once if its service has no earlier one that still serves and none
    /// with more endpoints: otherwise a service that is new would get no requests.
    pub fn record_list(
        &mut self,
        counts: &BTreeMap<(String, String), u32>,
        now: Micros,
    ) {
        let mut new_versions = Vec::new();
        for ((service, version), count) in counts {
            if self.contains(service, version) {
                continue;
            }
            let of_service = || counts.iter().filter(|((other, _), _)| other == service);
            let is_largest = of_service().all(|(_, other)| other <= count);
            let has_earlier = of_service().any(|((_, other), _)| self.contains(service, other));
            new_versions.push((service, version, is_largest && !has_earlier));
        }
        for (service, version, is_settled) in new_versions {
            let versions = self.seen.entry(service.clone()).or_default();
            versions.push(version.clone());
            if !is_settled {
                self.unsettled.push((service.clone(), version.clone(), now));
            }
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
