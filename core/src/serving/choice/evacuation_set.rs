use std::collections::BTreeMap;

/// Failure domains that operators have evacuated: their endpoints receive no new requests.
///
/// An evacuation that is missing from a restored snapshot of the platform store may still be
/// intended. It stays in force until the operators have had time to write it again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationSet {
    /// Evacuated failure domains, and whether the store has confirmed each evacuation since the
    /// last full read began.
    domains: BTreeMap<String, bool>,
}

/// Change found by a read of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The failure domain receives no new requests from now on.
    Begins(String),
    /// The failure domain serves again.
    Ends(String),
}

impl EvacuationSet {
    /// Whether the endpoints of a failure domain receive no new requests.
    pub fn contains(
        &self,
        domain: &str,
    ) -> bool {
        self.domains.contains_key(domain)
    }

    /// Evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &str> {
        self.domains.keys().map(String::as_str)
    }

    /// Sets whether a failure domain is evacuated; returns the change, if any.
    pub fn set(
        &mut self,
        domain: &str,
        is_evacuated: bool,
    ) -> Option<EvacuationChange> {
        let domain = domain.to_string();
        match is_evacuated {
            true => {
                let before = self.domains.insert(domain.clone(), true);
                before.is_none().then_some(EvacuationChange::Begins(domain))
            }
            false => {
                let before = self.domains.remove(&domain);
                before.map(|_| EvacuationChange::Ends(domain))
            }
        }
    }

    /// Adds an evacuation that another box reported. It is unconfirmed until a read of the store
    /// shows it.
    pub fn add_reported(
        &mut self,
        domain: &str,
    ) -> Option<EvacuationChange> {
        let is_known = self.contains(domain);
        self.domains.entry(domain.to_string()).or_insert(false);
        (!is_known).then(|| EvacuationChange::Begins(domain.to_string()))
    }

    /// Marks all evacuations as unconfirmed, at the start of a full read.
    pub fn begin_full_read(&mut self) {
        for is_confirmed in self.domains.values_mut() {
            *is_confirmed = false;
        }
    }

    /// Ends the evacuations that have not been confirmed since the last full read began.
    pub fn finish_full_read(&mut self) -> Vec<EvacuationChange> {
        let unconfirmed = self
            .domains
            .iter()
            .filter(|(_, is_confirmed)| !**is_confirmed);
        let ended: Vec<String> = unconfirmed.map(|(domain, _)| domain.clone()).collect();
        ended
            .iter()
            .filter_map(|domain| self.set(domain, false))
            .collect()
    }
}
