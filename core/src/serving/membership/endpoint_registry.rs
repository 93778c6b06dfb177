use {
    crate::serving::{
        EndpointChange, EndpointContact, EndpointEntry, EndpointIncarnation, EndpointNotice,
        EndpointRejoin, EndpointRest, EndpointSlowStart, EndpointStatus, EngineRate,
        IncarnationOrder, KnownWeights, ListedSoftware, PartIndex, PlainTime, SoftwareTag,
        StatedLimit, StorePosition, SwapPlanner, SwapStage,
    },
    crate::{retry::OutlierGuard, time::Micros},
    slotmap::{new_key_type, SlotMap},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        net::SocketAddr,
    },
};

new_key_type! {
    /// Key of an endpoint in the registry.
    pub struct EndpointKey;
}

/// Time for which an endpoint that left is remembered, so that a delayed write does not restore it:
/// writes can arrive some seconds late.
const LEFT_RETENTION: Micros = Micros::from_secs(30);
/// The same for an endpoint that stated that it is leaving: the list may be unavailable for minutes
/// and then still show it as serving.
const STATED_LEAVE_RETENTION: Micros = Micros::from_secs(600);

/// All known endpoints, indexed by id because an address can be reused.
#[derive(Debug, Clone, Default)]
pub struct EndpointRegistry {
    pub(in crate::serving) entries: SlotMap<EndpointKey, EndpointEntry>,
    ids: BTreeMap<String, EndpointKey>,
    /// Endpoints that were listed at an address; some may have moved since.
    by_address: HashMap<SocketAddr, Vec<EndpointKey>>,
    /// Endpoints that run requests of this box or do not respond; others may be among them.
    pub(in crate::serving) watched: BTreeSet<EndpointKey>,
}

impl EndpointRegistry {
    /// Key of an endpoint by its id.
    pub fn key(
        &self,
        id: &str,
    ) -> Option<EndpointKey> {
        self.ids.get(id).copied()
    }

    /// Entry of an endpoint.
    pub fn get(
        &self,
        key: EndpointKey,
    ) -> Option<&EndpointEntry> {
        self.entries.get(key)
    }

    /// Mutable entry of an endpoint.
    pub fn get_mut(
        &mut self,
        key: EndpointKey,
    ) -> Option<&mut EndpointEntry> {
        self.entries.get_mut(key)
    }

    /// Number of known endpoints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All endpoints, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &EndpointEntry)> {
        self.ids
            .values()
            .filter_map(|key| Some((*key, self.entries.get(*key)?)))
    }

    /// All endpoints as list notices, for a box that cannot read the list itself. Endpoints that
    /// left are included, so that the receiver does not treat them as serving.
    pub fn notices(&self) -> Vec<EndpointNotice> {
        let notice = |(_, entry): (EndpointKey, &EndpointEntry)| EndpointNotice {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: Some(entry.address),
            domain: entry.domain.clone(),
            slots: entry.slots,
            software: entry.listed_software.version.clone(),
            is_leaving: !entry.may_be_present(),
            is_away: !entry.is_listed() && entry.may_be_present(),
            weights: Vec::new(),
            born: entry.incarnation.listed_born,
            slow_ms: None,
            // Omitted because it changes with each heartbeat, and a copy whose content differs
            // counts as changed.
            row: StorePosition::default(),
        };
        self.iter().map(notice).collect()
    }

    /// Applies a list notice about one endpoint.
    pub fn apply(
        &mut self,
        notice: &EndpointNotice,
    ) -> Option<EndpointChange> {
        let listed_status = match notice.is_leaving || notice.is_away {
            true => EndpointStatus::Leaving,
            false => EndpointStatus::Serving,
        };
        let address = notice.address?;
        if let Some(key) = self.key(&notice.id) {
            self.index_address(address, key);
            let entry = &mut self.entries[key];
            if notice.is_away {
                // The endpoint is known here, so a report from another box counts only if it is of
                // a later incarnation of an endpoint that had left.
                let is_new = entry.apply_unlisted(notice);
                return is_new.then(|| EndpointChange::Away(entry.id.clone()));
            }
            return entry.apply_listed(notice, listed_status);
        }
        let key = self
            .entries
            .insert(new_entry(notice, address, listed_status));
        self.ids.insert(notice.id.clone(), key);
        self.index_address(address, key);
        let id = notice.id.clone();
        match notice.is_away {
            true => Some(EndpointChange::Away(id)),
            false => Some(EndpointChange::of_status(listed_status, id)),
        }
    }

    /// Applies what another box knows about one endpoint from a newer read of the list.
    pub fn apply_reported(
        &mut self,
        notice: &EndpointNotice,
    ) -> Option<EndpointChange> {
        let known = self.key(&notice.id).and_then(|key| self.get(key));
        let order = known.map(|entry| IncarnationOrder::of(entry.incarnation.born, notice.born));
        match order {
            Some(IncarnationOrder::Same) if notice.is_away => self.mark_unlisted(&notice.id, true),
            Some(IncarnationOrder::Earlier) => None,
            _ => self.apply(notice),
        }
    }

    fn index_address(
        &mut self,
        address: SocketAddr,
        key: EndpointKey,
    ) {
        let keys = self.by_address.entry(address).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    /// Endpoints at an address.
    pub(in crate::serving) fn at_address(
        &self,
        address: SocketAddr,
    ) -> impl Iterator<Item = (EndpointKey, &EndpointEntry)> {
        let keys = self.by_address.get(&address).into_iter().flatten();
        let entries = keys.filter_map(|key| Some((*key, self.entries.get(*key)?)));
        entries.filter(move |(_, entry)| entry.address == address)
    }

    /// Records that an endpoint is no longer on the list; `is_reliable` is whether the list is
    /// reliable.
    pub fn mark_unlisted(
        &mut self,
        id: &str,
        is_reliable: bool,
    ) -> Option<EndpointChange> {
        let key = self.key(id)?;
        let entry = &mut self.entries[key];
        let previous = entry.status;
        if !is_reliable && previous == EndpointStatus::Serving {
            entry.status = EndpointStatus::Lapsed;
            return Some(EndpointChange::Lapses(id.to_string()));
        }
        if entry.rejoin != EndpointRejoin::Never {
            entry.rejoin = EndpointRejoin::Away;
            entry.unlisted_interval = None;
        }
        if !is_reliable {
            return None;
        }
        entry.status = EndpointStatus::Leaving;
        (previous != EndpointStatus::Leaving).then(|| EndpointChange::Leaves(id.to_string()))
    }

    /// Applies a complete list: endpoints that are missing from it are marked as unlisted.
    pub fn apply_all(
        &mut self,
        notices: &[EndpointNotice],
        is_reliable: bool,
    ) -> Vec<EndpointChange> {
        let mut changes: Vec<EndpointChange> =
            notices.iter().filter_map(|n| self.apply(n)).collect();
        let listed: HashSet<&str> = notices.iter().map(|n| n.id.as_str()).collect();
        let known: Vec<String> = self.ids.keys().cloned().collect();
        let missing = known.iter().filter(|id| !listed.contains(id.as_str()));
        changes.extend(missing.filter_map(|id| self.mark_unlisted(id, is_reliable)));
        changes
    }

    /// The list is reliable again: lapsed endpoints that did not reappear count as leaving.
    pub fn expire_lapsed(&mut self) -> Vec<EndpointChange> {
        let lapsed = |entry: &&mut EndpointEntry| entry.status == EndpointStatus::Lapsed;
        let mut changes = Vec::new();
        for entry in self.entries.values_mut().filter(lapsed) {
            entry.status = EndpointStatus::Leaving;
            changes.push(EndpointChange::Leaves(entry.id.clone()));
        }
        changes
    }

    /// Removes endpoints that left more than `LEFT_RETENTION` ago and run no requests of this
    /// front, or `STATED_LEAVE_RETENTION`. An endpoint whose reports still arrive is kept.
    pub fn prune(
        &mut self,
        now: Micros,
    ) {
        let previous = self.entries.len();
        let entries = &mut self.entries;
        self.ids.retain(|_, key| {
            let entry = &mut entries[*key];
            if entry.status != EndpointStatus::Leaving {
                return true;
            }
            if entry.may_be_present() && entry.fresh_load(now).is_some() {
                entry.left_at = Some(now);
            }
            let left_at = *entry.left_at.get_or_insert(now);
            entry.parts = PartIndex::default();
            entry.is_mirrored = false;
            let retention = match entry.states_leaving {
                true => STATED_LEAVE_RETENTION,
                false => LEFT_RETENTION,
            };
            let is_expired = entry.running == 0 && now.since(left_at) > retention;
            if is_expired {
                entries.remove(*key);
            }
            !is_expired
        });
        if self.entries.len() < previous {
            let entries = &self.entries;
            self.by_address.retain(|_, keys| {
                keys.retain(|key| entries.contains_key(*key));
                !keys.is_empty()
            });
        }
    }

    /// Updates which endpoints are about to load new weights.
    pub fn update_stages(
        &mut self,
        planner: &SwapPlanner,
    ) {
        for (key, entry) in &mut self.entries {
            entry.stage = planner.stage(key);
        }
    }
}

/// Entry of an endpoint that was not known before.
fn new_entry(
    notice: &EndpointNotice,
    address: SocketAddr,
    listed_status: EndpointStatus,
) -> EndpointEntry {
    let mut weights = KnownWeights::default();
    for (model, version) in &notice.weights {
        weights.set_version(model, *version);
    }
    EndpointEntry {
        id: notice.id.clone(),
        service: notice.service.clone(),
        address,
        domain: notice.domain.clone(),
        slots: notice.slots,
        software: notice.software.clone(),
        listed_software: ListedSoftware::of(notice),
        software_tag: SoftwareTag::new(&notice.service, &notice.software),
        status: listed_status,
        is_superseded: false,
        // An endpoint that is away is probed once its entry reappears. When it was treated as
        // leaving permanently, it received no requests until its state was removed.
        rejoin: match notice.is_away {
            true => EndpointRejoin::Away,
            false => EndpointRejoin::of(listed_status),
        },
        unlisted_interval: None,
        rollback_notice: None,
        states_leaving: false,
        left_at: None,
        incarnation: EndpointIncarnation {
            born: notice.born,
            listed_born: notice.born,
            row: notice.row,
            ..EndpointIncarnation::default()
        },
        weights,
        load: None,
        parts: PartIndex::default(),
        is_mirrored: false,
        slow_start: EndpointSlowStart::default(),
        stated_limit: StatedLimit::default(),
        rest: EndpointRest::default(),
        rate: EngineRate::default(),
        plain_time: PlainTime::default(),
        guard: OutlierGuard::default(),
        contact: EndpointContact::default(),
        answered_at: None,
        stage: SwapStage::Idle,
        running: 0,
        pending_prefills: Vec::new(),
    }
}
