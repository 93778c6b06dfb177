use {
    super::{
        EndpointEntry, EndpointIncarnation, EndpointNotice, EndpointRejoin, EndpointSlowStart,
        EndpointStatus, PartIndex, PendingPrefill, StorePosition, SwapPlanner, SwapStage,
        WeightBelief,
    },
    crate::{retry::OutlierGuard, time::Micros},
    slotmap::{new_key_type, SlotMap},
    std::collections::{BTreeMap, HashSet},
};

new_key_type! {
    /// Key of an endpoint in the book.
    pub struct EndpointKey;
}

/// What a reading of the list changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// An endpoint may get requests from now on.
    Serves(String),
    /// An endpoint gets nothing new from now on.
    Leaves(String),
    /// An endpoint's entry went while the list cannot be trusted.
    Lapses(String),
    /// An endpoint that is on no list is there: it gets no requests.
    Away(String),
    /// An endpoint has started again and serves; its earlier life's connections are
    /// of no use.
    Restarts(String),
}

/// Time for which an endpoint that left is remembered, so that a write of an
/// earlier time does not bring it back: writes may come some seconds late.
const LEFT_RETENTION: Micros = Micros::from_secs(30);

/// Every endpoint that is known, by id: an address may be used again.
#[derive(Debug, Clone, Default)]
pub struct EndpointRegistry {
    pub(super) entries: SlotMap<EndpointKey, EndpointEntry>,
    ids: BTreeMap<String, EndpointKey>,
}

impl EndpointRegistry {
    /// Key of an endpoint by id.
    pub fn key(
        &self,
        id: &str,
    ) -> Option<EndpointKey> {
        self.ids.get(id).copied()
    }

    /// An endpoint.
    pub fn get(
        &self,
        key: EndpointKey,
    ) -> Option<&EndpointEntry> {
        self.entries.get(key)
    }

    /// An endpoint, to change it.
    pub fn get_mut(
        &mut self,
        key: EndpointKey,
    ) -> Option<&mut EndpointEntry> {
        self.entries.get_mut(key)
    }

    /// How many endpoints are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All endpoints in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &EndpointEntry)> {
        self.ids
            .values()
            .filter_map(|key| Some((*key, self.entries.get(*key)?)))
    }

    /// All endpoints as the list would tell them, for a box that cannot read it.
    /// Those that left are among them, so that nobody takes them for serving.
    pub fn notices(&self) -> Vec<EndpointNotice> {
        let notice = |(_, entry): (EndpointKey, &EndpointEntry)| EndpointNotice {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: Some(entry.address),
            domain: entry.domain.clone(),
            slots: entry.slots,
            is_leaving: !entry.may_be_present(),
            is_away: !entry.is_listed() && entry.may_be_present(),
            weights: Vec::new(),
            born: entry.incarnation.listed_born,
            slow_ms: None,
            // It rises with each heartbeat, and a copy counts as news by its content.
            row: StorePosition::default(),
        };
        self.iter().map(notice).collect()
    }

    /// Takes what the list says of an endpoint.
    pub fn apply(
        &mut self,
        notice: &EndpointNotice,
    ) -> Option<EndpointChange> {
        let wanted = match notice.is_leaving || notice.is_away {
            true => EndpointStatus::Leaving,
            false => EndpointStatus::Serving,
        };
        let address = notice.address?;
        if let Some(key) = self.key(&notice.id) {
            let entry = &mut self.entries[key];
            if notice.is_away {
                // This box has heard of it by itself.
                let is_new = entry.apply_unlisted(notice);
                return is_new.then(|| EndpointChange::Away(entry.id.clone()));
            }
            return entry.apply_listed(notice, wanted);
        }
        let mut weights = WeightBelief::default();
        for (model, version) in &notice.weights {
            weights.learn(model, *version);
        }
        let key = self.entries.insert(EndpointEntry {
            id: notice.id.clone(),
            service: notice.service.clone(),
            address,
            domain: notice.domain.clone(),
            slots: notice.slots,
            status: wanted,
            is_superseded: false,
            // One that is away is asked when its entry is back: counted as leaving for
            // good, it got nothing until it was forgotten.
            rejoin: match notice.is_away {
                true => EndpointRejoin::Away,
                false => EndpointRejoin::of(wanted),
            },
            rollback_notice: None,
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
            guard: OutlierGuard::default(),
            answered_at: None,
            stage: SwapStage::Idle,
            running: 0,
            pending_prefills: Vec::new(),
        });
        self.ids.insert(notice.id.clone(), key);
        let id = notice.id.clone();
        match notice.is_away {
            true => Some(EndpointChange::Away(id)),
            false => Some(status_change(wanted, id)),
        }
    }

    /// Takes that an endpoint is on the list no more; `is_steady` says whether
    /// the list can be trusted.
    pub fn mark_unlisted(
        &mut self,
        id: &str,
        is_steady: bool,
    ) -> Option<EndpointChange> {
        let key = self.key(id)?;
        let entry = &mut self.entries[key];
        let before = entry.status;
        if !is_steady && before == EndpointStatus::Serving {
            entry.status = EndpointStatus::Lapsed;
            return Some(EndpointChange::Lapses(id.to_string()));
        }
        if entry.rejoin != EndpointRejoin::Never {
            entry.rejoin = EndpointRejoin::Away;
        }
        if !is_steady {
            return None;
        }
        entry.status = EndpointStatus::Leaving;
        (before != EndpointStatus::Leaving).then(|| EndpointChange::Leaves(id.to_string()))
    }

    /// Takes a whole list: what is not on it is gone.
    pub fn apply_all(
        &mut self,
        notices: &[EndpointNotice],
        is_steady: bool,
    ) -> Vec<EndpointChange> {
        let mut changes: Vec<EndpointChange> =
            notices.iter().filter_map(|n| self.apply(n)).collect();
        let listed: HashSet<&str> = notices.iter().map(|n| n.id.as_str()).collect();
        let known: Vec<String> = self.ids.keys().cloned().collect();
        let missing = known.iter().filter(|id| !listed.contains(id.as_str()));
        changes.extend(missing.filter_map(|id| self.mark_unlisted(id, is_steady)));
        changes
    }

    /// The list can be trusted again: who lapsed and did not come back is gone.
    pub fn expire_lapsed(&mut self) -> Vec<EndpointChange> {
        let lapsed = |entry: &&mut EndpointEntry| entry.status == EndpointStatus::Lapsed;
        let mut changes = Vec::new();
        for entry in self.entries.values_mut().filter(lapsed) {
            entry.status = EndpointStatus::Leaving;
            changes.push(EndpointChange::Leaves(entry.id.clone()));
        }
        changes
    }

    /// Forgets endpoints that left some time ago and have none of our requests. One that is
    /// heard is there.
    pub fn prune(
        &mut self,
        now: Micros,
    ) {
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
            let is_expired = entry.running == 0 && now.since(left_at) > LEFT_RETENTION;
            if is_expired {
                entries.remove(*key);
            }
            !is_expired
        });
    }

    /// Marks which endpoints are about to load new weights.
    pub fn update_stages(
        &mut self,
        planner: &SwapPlanner,
    ) {
        for (key, entry) in &mut self.entries {
            entry.stage = planner.stage(key);
        }
    }

    /// Notes that a request was handed to an endpoint.
    pub fn record_sent(
        &mut self,
        key: EndpointKey,
        prefill: PendingPrefill,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.running += 1;
            entry.slow_start.note_sent(prefill.ticket, prefill.sent_at);
            entry.pending_prefills.push(prefill);
        }
    }

    /// Notes that a request is written to an endpoint now, some time after it was counted there.
    pub fn record_written(
        &mut self,
        key: EndpointKey,
        ticket: u64,
        now: Micros,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.slow_start.note_sent(ticket, now);
        }
    }

    /// Notes that a request was not sent to an endpoint at which it was counted.
    pub fn record_unsent(
        &mut self,
        key: EndpointKey,
        ticket: u64,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.slow_start.note_unsent(ticket);
        }
    }

    /// Notes that an endpoint has begun to answer a request.
    pub fn record_started(
        &mut self,
        key: EndpointKey,
        ticket: u64,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry
                .pending_prefills
                .retain(|prefill| prefill.ticket != ticket);
        }
    }

    /// Notes that an endpoint is done with a request.
    pub fn record_ended(
        &mut self,
        key: EndpointKey,
        ticket: u64,
    ) {
        self.record_started(key, ticket);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Notes how a request went at an endpoint; true when that takes it out.
    pub fn record_outcome(
        &mut self,
        key: EndpointKey,
        is_sound: bool,
        now: Micros,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if is_sound {
            entry.answered_at = Some(now);
            entry.guard.succeeded(now);
            return false;
        }
        entry.guard.failed(now)
    }
}

pub(super) fn status_change(
    status: EndpointStatus,
    id: String,
) -> EndpointChange {
    match status {
        EndpointStatus::Serving => EndpointChange::Serves(id),
        EndpointStatus::Lapsed => EndpointChange::Lapses(id),
        EndpointStatus::Leaving => EndpointChange::Leaves(id),
    }
}
