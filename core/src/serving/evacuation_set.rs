use std::collections::BTreeMap;

/// Failure domains whose endpoints are to get nothing new, as the operators wrote.
///
/// What a copy of the platform's store lacks may still be asked for: an evacuation that is
/// missing there holds until the operators have had the time to write it again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationSet {
    /// By failure domain, whether the present era of the store shows it.
    domains: BTreeMap<String, bool>,
}

/// What a reading changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// A failure domain gets nothing new from now on.
    Begins(String),
    /// It serves again.
    Ends(String),
}

impl EvacuationSet {
    /// Whether endpoints of a failure domain get nothing new.
    pub fn contains(
        &self,
        domain: &str,
    ) -> bool {
        self.domains.contains_key(domain)
    }

    /// The failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &str> {
        self.domains.keys().map(String::as_str)
    }

    /// Records that a failure domain is evacuated, or no more.
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

    /// Records that another box knows of an evacuation; a reading of everything has yet to show it.
    pub fn add_reported(
        &mut self,
        domain: &str,
    ) -> Option<EvacuationChange> {
        let is_known = self.contains(domain);
        self.domains.entry(domain.to_string()).or_insert(false);
        (!is_known).then(|| EvacuationChange::Begins(domain.to_string()))
    }

    /// All that is known has yet to be shown: a reading of everything follows.
    pub fn begin_full_read(&mut self) {
        for is_confirmed in self.domains.values_mut() {
            *is_confirmed = false;
        }
    }

    /// Ends the evacuations that no reading has shown since the last one of everything began.
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
