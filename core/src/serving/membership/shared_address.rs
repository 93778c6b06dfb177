//! Endpoints with a common address: which one is present, and which ones are superseded.

use {
    crate::serving::{
        EndpointChange, EndpointEntry, EndpointKey, EndpointRegistry, EndpointRejoin,
        EndpointStatus, IncarnationOrder, ListedIncarnation,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

impl EndpointRegistry {
    /// Marks endpoints as leaving permanently if the list has an endpoint of the same service at
    /// their address that started later: they no longer exist, even if their entries are still
    /// listed.
    pub fn retire_superseded(&mut self) -> Vec<EndpointChange> {
        let mut latest: BTreeMap<(SocketAddr, &str), u64> = BTreeMap::new();
        for entry in self.entries.values() {
            if let (EndpointStatus::Serving, Some(born)) =
                (entry.status, entry.incarnation.listed_born)
            {
                let known = latest.entry(service_address(entry)).or_insert(born);
                *known = born.max(*known);
            }
        }
        let is_superseded = |(_, entry): &(EndpointKey, &EndpointEntry)| {
            let newest = latest.get(&service_address(entry)).copied();
            IncarnationOrder::of(newest, entry.incarnation.listed_born) == IncarnationOrder::Earlier
        };
        let superseded: Vec<EndpointKey> = self
            .iter()
            .filter(is_superseded)
            .map(|(key, _)| key)
            .collect();
        let mut changes = Vec::new();
        for key in superseded {
            let entry = &mut self.entries[key];
            entry.rejoin = EndpointRejoin::Never;
            if entry.status != EndpointStatus::Leaving {
                entry.status = EndpointStatus::Leaving;
                changes.push(EndpointChange::Leaves(entry.id.clone()));
            }
        }
        self.mark_superseded();
        changes
    }

    /// Marks endpoints for which the list shows a later endpoint of the same service at the same
    /// address. After a crash, an endpoint is listed under its old and its new id for some seconds,
    /// and requests to the old one are refused.
    pub fn mark_superseded(&mut self) {
        let mut latest: BTreeMap<(SocketAddr, &str), (EndpointKey, ListedIncarnation)> =
            BTreeMap::new();
        let mut superseded: Vec<EndpointKey> = Vec::new();
        for (key, entry) in self.iter().filter(|(_, entry)| entry.is_listed()) {
            let listed = entry.incarnation.listed();
            match latest.get(&service_address(entry)) {
                Some((_, known)) if !listed.is_later_than(known) => superseded.push(key),
                known => {
                    superseded.extend(known.map(|(earlier, _)| *earlier));
                    latest.insert(service_address(entry), (key, listed));
                }
            }
        }
        for entry in self.entries.values_mut() {
            entry.is_superseded = false;
        }
        for key in superseded {
            self.entries[key].is_superseded = true;
        }
    }

    /// Key of the endpoint that is present at an address, among those that `is_eligible` accepts.
    ///
    /// The entry of a crashed endpoint may still be listed along with that of its successor: the
    /// one that started later counts as present, or the one listed last. An endpoint whose entry
    /// disappeared counts only if there is no other.
    pub fn present_at(
        &self,
        address: SocketAddr,
        is_eligible: impl Fn(&EndpointEntry) -> bool,
    ) -> Option<EndpointKey> {
        self.latest_at(address, |entry| {
            entry.may_be_present() && is_eligible(entry)
        })
    }

    /// Key of the endpoint that left an address last, among those that `is_eligible` accepts.
    pub fn departed_at(
        &self,
        address: SocketAddr,
        is_eligible: impl Fn(&EndpointEntry) -> bool,
    ) -> Option<EndpointKey> {
        self.latest_at(address, |entry| {
            !entry.may_be_present() && is_eligible(entry)
        })
    }

    /// Key of the endpoint that takes precedence at an address.
    fn latest_at(
        &self,
        address: SocketAddr,
        is_candidate: impl Fn(&EndpointEntry) -> bool,
    ) -> Option<EndpointKey> {
        let mut latest: Option<(EndpointKey, &EndpointEntry)> = None;
        for (key, entry) in self
            .at_address(address)
            .filter(|(_, entry)| is_candidate(entry))
        {
            if latest.is_none_or(|(_, known)| !takes_precedence(known, entry)) {
                latest = Some((key, entry));
            }
        }
        latest.map(|(key, _)| key)
    }

    /// Present endpoints by address, among those that `is_eligible` accepts; see
    /// [`EndpointRegistry::present_at`]. One pass for all addresses, as greetings are sent several
    /// times a second.
    pub fn present(
        &self,
        is_eligible: impl Fn(&EndpointEntry) -> bool,
    ) -> BTreeMap<SocketAddr, EndpointKey> {
        let is_candidate = |entry: &EndpointEntry| entry.may_be_present() && is_eligible(entry);
        let mut present: BTreeMap<SocketAddr, EndpointKey> = BTreeMap::new();
        for (key, entry) in self.iter().filter(|(_, entry)| is_candidate(entry)) {
            let known = present.get(&entry.address).and_then(|key| self.get(*key));
            if known.is_none_or(|known| !takes_precedence(known, entry)) {
                present.insert(entry.address, key);
            }
        }
        present
    }
}

/// Whether `one` rather than `other` is present at their common address.
fn takes_precedence(
    one: &EndpointEntry,
    other: &EndpointEntry,
) -> bool {
    match one.is_listed() == other.is_listed() {
        true => one
            .incarnation
            .listed()
            .is_later_than(&other.incarnation.listed()),
        false => one.is_listed(),
    }
}

fn service_address(entry: &EndpointEntry) -> (SocketAddr, &str) {
    (entry.address, entry.service.as_str())
}
