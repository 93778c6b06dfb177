use {
    super::{
        EndpointEntry, EndpointLife, EndpointNotice, EndpointReturn, EndpointSlowStart,
        EndpointStanding, KnownWeights, PartMemory, StorePosition, SwapPlanner, SwapStage,
        UnreadWork,
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
pub enum BookChange {
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
const REMEMBER_LEFT: Micros = Micros::from_secs(30);

/// Every endpoint that is known, by id: an address may be used again.
#[derive(Debug, Clone, Default)]
pub struct EndpointBook {
    pub(super) entries: SlotMap<EndpointKey, EndpointEntry>,
    ids: BTreeMap<String, EndpointKey>,
}

impl EndpointBook {
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
            is_leaving: !entry.may_be_there(),
            is_away: !entry.is_listed() && entry.may_be_there(),
            weights: Vec::new(),
            born: entry.life.listed,
            slow_ms: None,
            // It rises with each heartbeat, and a copy counts as news by its content.
            row: StorePosition::default(),
        };
        self.iter().map(notice).collect()
    }

    /// Takes what the list says of an endpoint.
    pub fn take(
        &mut self,
        notice: &EndpointNotice,
    ) -> Option<BookChange> {
        let wanted = match notice.is_leaving || notice.is_away {
            true => EndpointStanding::Leaving,
            false => EndpointStanding::Serving,
        };
        let address = notice.address?;
        if let Some(key) = self.key(&notice.id) {
            let entry = &mut self.entries[key];
            if notice.is_away {
                // This box has heard of it by itself.
                let is_news = entry.take_away_word(notice);
                return is_news.then(|| BookChange::Away(entry.id.clone()));
            }
            return entry.take_notice(notice, wanted);
        }
        let mut weights = KnownWeights::default();
        for (model, version) in &notice.weights {
            weights.set_version(model, *version);
        }
        let key = self.entries.insert(EndpointEntry {
            id: notice.id.clone(),
            service: notice.service.clone(),
            address,
            domain: notice.domain.clone(),
            slots: notice.slots,
            standing: wanted,
            is_overtaken: false,
            // One that is away is asked when its entry is back: counted as leaving for
            // good, it got nothing until it was forgotten.
            comeback: match notice.is_away {
                true => EndpointReturn::Away,
                false => EndpointReturn::of(wanted),
            },
            set_back: None,
            left_at: None,
            life: EndpointLife {
                born: notice.born,
                listed: notice.born,
                row: notice.row,
                ..EndpointLife::default()
            },
            weights,
            load: None,
            parts: PartMemory::default(),
            is_mirrored: false,
            slow_start: EndpointSlowStart::default(),
            guard: OutlierGuard::default(),
            answered_at: None,
            stage: SwapStage::Idle,
            running: 0,
            unread: Vec::new(),
        });
        self.ids.insert(notice.id.clone(), key);
        let id = notice.id.clone();
        match notice.is_away {
            true => Some(BookChange::Away(id)),
            false => Some(change(wanted, id)),
        }
    }

    /// Takes that an endpoint is on the list no more; `is_steady` says whether
    /// the list can be trusted.
    pub fn gone(
        &mut self,
        id: &str,
        is_steady: bool,
    ) -> Option<BookChange> {
        let key = self.key(id)?;
        let entry = &mut self.entries[key];
        let before = entry.standing;
        if !is_steady && before == EndpointStanding::Serving {
            entry.standing = EndpointStanding::Lapsed;
            return Some(BookChange::Lapses(id.to_string()));
        }
        if entry.comeback != EndpointReturn::Never {
            entry.comeback = EndpointReturn::Away;
        }
        if !is_steady {
            return None;
        }
        entry.standing = EndpointStanding::Leaving;
        (before != EndpointStanding::Leaving).then(|| BookChange::Leaves(id.to_string()))
    }

    /// Takes a whole list: what is not on it is gone.
    pub fn take_all(
        &mut self,
        notices: &[EndpointNotice],
        is_steady: bool,
    ) -> Vec<BookChange> {
        let mut changes: Vec<BookChange> = notices.iter().filter_map(|n| self.take(n)).collect();
        let listed: HashSet<&str> = notices.iter().map(|n| n.id.as_str()).collect();
        let known: Vec<String> = self.ids.keys().cloned().collect();
        let missing = known.iter().filter(|id| !listed.contains(id.as_str()));
        changes.extend(missing.filter_map(|id| self.gone(id, is_steady)));
        changes
    }

    /// The list can be trusted again: who lapsed and did not come back is gone.
    pub fn settle(&mut self) -> Vec<BookChange> {
        let lapsed = |entry: &&mut EndpointEntry| entry.standing == EndpointStanding::Lapsed;
        let mut changes = Vec::new();
        for entry in self.entries.values_mut().filter(lapsed) {
            entry.standing = EndpointStanding::Leaving;
            changes.push(BookChange::Leaves(entry.id.clone()));
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
            if entry.standing != EndpointStanding::Leaving {
                return true;
            }
            if entry.may_be_there() && entry.fresh_load(now).is_some() {
                entry.left_at = Some(now);
            }
            let left_at = *entry.left_at.get_or_insert(now);
            entry.parts = PartMemory::default();
            entry.is_mirrored = false;
            let is_over = entry.running == 0 && now.since(left_at) > REMEMBER_LEFT;
            if is_over {
                entries.remove(*key);
            }
            !is_over
        });
    }

    /// Marks which endpoints are about to load new weights.
    pub fn mark_swaps(
        &mut self,
        planner: &SwapPlanner,
    ) {
        for (key, entry) in &mut self.entries {
            entry.stage = planner.stage(key);
        }
    }

    /// Notes that a request was handed to an endpoint.
    pub fn sent(
        &mut self,
        key: EndpointKey,
        work: UnreadWork,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.running += 1;
            entry.slow_start.note_sent(work.ticket, work.sent_at);
            entry.unread.push(work);
        }
    }

    /// Notes that a request is written to an endpoint now, some time after it was counted there.
    pub fn written(
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
    pub fn unsent(
        &mut self,
        key: EndpointKey,
        ticket: u64,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.slow_start.note_unsent(ticket);
        }
    }

    /// Notes that an endpoint has begun to answer a request.
    pub fn begun(
        &mut self,
        key: EndpointKey,
        ticket: u64,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.unread.retain(|work| work.ticket != ticket);
        }
    }

    /// Notes that an endpoint is done with a request.
    pub fn ended(
        &mut self,
        key: EndpointKey,
        ticket: u64,
    ) {
        self.begun(key, ticket);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Notes how a request went at an endpoint; true when that takes it out.
    pub fn judged(
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

pub(super) fn change(
    standing: EndpointStanding,
    id: String,
) -> BookChange {
    match standing {
        EndpointStanding::Serving => BookChange::Serves(id),
        EndpointStanding::Lapsed => BookChange::Lapses(id),
        EndpointStanding::Leaving => BookChange::Leaves(id),
    }
}
