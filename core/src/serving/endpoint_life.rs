use {
    super::{
        change, BookChange, EndpointBook, EndpointEntry, EndpointKey, EndpointNotice,
        EndpointReturn, EndpointStanding, KnownWeights, LifeWatch, ListedLife, PartMemory,
        StorePosition, SwapStage,
    },
    crate::{retry::OutlierGuard, time::Micros},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Time for which a digest of an earlier life of its sender counts as late; after that
/// the sender's clock has been set back.
const LATE_SENDER: Micros = Micros::from_millis(1_500);

/// How the life that somebody tells of stands to the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeOrder {
    /// It is over: what is told of it says nothing.
    Earlier,
    /// It is the same, as far as is known.
    Same,
    /// Nothing that was known holds any more.
    Later,
}

impl LifeOrder {
    /// Compares the starts of two lives; where one is not told they count as one.
    pub fn of(
        known: Option<u64>,
        told: Option<u64>,
    ) -> Self {
        match (known, told) {
            (Some(known), Some(told)) if told < known => LifeOrder::Earlier,
            (Some(known), Some(told)) if told > known => LifeOrder::Later,
            _ => LifeOrder::Same,
        }
    }
}

/// Place of a digest among those of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestMark {
    /// Life of the sender.
    pub life: u64,
    /// Number of the digest in that life.
    pub number: u64,
    /// Digests with changes of parts so far, this one included.
    pub changes: u64,
    /// When it came.
    pub at: Micros,
}

/// What a digest is worth by its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestOrder {
    /// It is the next one, or only load was told in those that are missing.
    Next,
    /// Changes of parts are missing before it.
    Gap,
    /// A later one has come before it.
    Overtaken,
}

/// Which life of an endpoint is known, and who told of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointLife {
    /// Start of the latest life that anybody told of, in milliseconds since 1970.
    pub born: Option<u64>,
    /// Start of the life that the list tells of.
    pub listed: Option<u64>,
    /// Position of its last row in the list.
    pub row: StorePosition,
    /// Lives that have ended since it is known; what a request learned in one of
    /// them says nothing of this one.
    pub ended: u32,
    /// The latest digest.
    pub digest: Option<DigestMark>,
    /// What digests tell of lives that were born earlier.
    pub watch: LifeWatch,
}

impl EndpointLife {
    /// Which life the list means.
    pub fn told(&self) -> ListedLife {
        ListedLife {
            born: self.listed,
            row: self.row,
        }
    }

    /// Takes the place of a digest that tells of this life; `is_change` says whether
    /// it has changes of parts.
    pub fn note_digest(
        &mut self,
        told: DigestMark,
        is_change: bool,
    ) -> DigestOrder {
        let Some(known) = self.digest else {
            self.digest = Some(told);
            return DigestOrder::Next;
        };
        let is_late = told.life < known.life && told.at.since(known.at) < LATE_SENDER;
        if is_late || (told.life == known.life && told.number <= known.number) {
            return DigestOrder::Overtaken;
        }
        self.digest = Some(told);
        let expected = known.changes + u64::from(is_change);
        match told.life == known.life && told.changes == expected {
            true => DigestOrder::Next,
            false => DigestOrder::Gap,
        }
    }
}

impl EndpointEntry {
    /// Takes what the list says of an endpoint that is known.
    pub(super) fn take_notice(
        &mut self,
        notice: &EndpointNotice,
        wanted: EndpointStanding,
    ) -> Option<BookChange> {
        let order = LifeOrder::of(self.life.born, notice.born);
        // A write of the earlier life may be carried out seconds late.
        if order == LifeOrder::Earlier {
            if wanted == EndpointStanding::Serving {
                self.doubt_end(notice);
            }
            return None;
        }
        self.set_back = None;
        let is_later = order == LifeOrder::Later;
        if is_later {
            self.begin_life(notice.born);
        }
        let is_first_word = LifeOrder::of(self.life.listed, notice.born) == LifeOrder::Later;
        self.life.born = notice.born.or(self.life.born);
        self.life.listed = notice.born.or(self.life.listed);
        if notice.row.is_newer_than(self.life.row) {
            self.life.row = notice.row;
        }
        for (model, version) in &notice.weights {
            // The list lags behind answers and reports, so it never sets back.
            if self
                .weights
                .version(model)
                .is_none_or(|known| known < *version)
            {
                self.weights.set_version(model, *version);
            }
        }
        if is_first_word {
            return self.stand_anew(notice, wanted, is_later);
        }
        self.restand(wanted)
            .then(|| change(wanted, self.id.clone()))
    }

    /// Takes that it is there without being on a list; true where that is news: it was
    /// known to have left, in an earlier life.
    pub(super) fn take_away_word(
        &mut self,
        notice: &EndpointNotice,
    ) -> bool {
        let is_later = LifeOrder::of(self.life.born, notice.born) == LifeOrder::Later;
        if self.may_be_there() || !is_later {
            return false;
        }
        self.begin_life(notice.born);
        self.comeback = EndpointReturn::Away;
        self.left_at = None;
        true
    }

    /// Takes the first word of the list on a later life: what the earlier one said of
    /// its end is over.
    pub(super) fn stand_anew(
        &mut self,
        notice: &EndpointNotice,
        wanted: EndpointStanding,
        is_later: bool,
    ) -> Option<BookChange> {
        let before = self.standing;
        self.service.clone_from(&notice.service);
        self.domain.clone_from(&notice.domain);
        self.address = notice.address.unwrap_or(self.address);
        self.slots = notice.slots;
        self.standing = wanted;
        self.comeback = EndpointReturn::of(wanted);
        self.left_at = None;
        let id = self.id.clone();
        match (wanted, before) {
            (EndpointStanding::Serving, _) if is_later => Some(BookChange::Restarts(id)),
            _ if before != wanted => Some(change(wanted, id)),
            _ => None,
        }
    }

    /// Begins a later life: the endpoint holds and knows nothing of before. Requests
    /// of ours count until they end.
    pub(super) fn begin_life(
        &mut self,
        born: Option<u64>,
    ) {
        self.weights = KnownWeights::default();
        self.load = None;
        self.parts = PartMemory::default();
        self.is_mirrored = false;
        self.guard = OutlierGuard::default();
        self.answered_at = None;
        self.stage = SwapStage::Idle;
        self.life.born = born;
        self.life.ended += 1;
    }
}

impl EndpointBook {
    /// Takes of which life of an endpoint a digest tells. Where that is a later one,
    /// the endpoint stands as before until the list tells of it too.
    pub fn hear_life(
        &mut self,
        key: EndpointKey,
        born: Option<u64>,
        now: Micros,
    ) -> LifeOrder {
        let Some(entry) = self.entries.get_mut(key) else {
            return LifeOrder::Earlier;
        };
        let order = entry.life.watch.order(entry.life.born, born, now);
        match order {
            LifeOrder::Earlier => {}
            LifeOrder::Same => entry.life.born = born.or(entry.life.born),
            LifeOrder::Later => entry.begin_life(born),
        }
        order
    }

    /// Ends endpoints at whose address the list tells of one of the same service that
    /// was born later: nothing of them is there any more, whatever their entries say.
    pub fn end_overtaken(&mut self) -> Vec<BookChange> {
        let mut latest: BTreeMap<(SocketAddr, &str), u64> = BTreeMap::new();
        for entry in self.entries.values() {
            if let (EndpointStanding::Serving, Some(born)) = (entry.standing, entry.life.listed) {
                let known = latest.entry(place(entry)).or_insert(born);
                *known = born.max(*known);
            }
        }
        let is_over = |(_, entry): &(EndpointKey, &EndpointEntry)| {
            let newest = latest.get(&place(entry)).copied();
            LifeOrder::of(newest, entry.life.listed) == LifeOrder::Earlier
        };
        let over: Vec<EndpointKey> = self.iter().filter(is_over).map(|(key, _)| key).collect();
        let mut changes = Vec::new();
        for key in over {
            let entry = &mut self.entries[key];
            entry.comeback = EndpointReturn::Never;
            if entry.standing != EndpointStanding::Leaving {
                entry.standing = EndpointStanding::Leaving;
                changes.push(BookChange::Leaves(entry.id.clone()));
            }
        }
        self.mark_overtaken();
        changes
    }

    /// Marks endpoints at whose address the list shows another one of their service later: after a
    /// crash an endpoint is listed under its old and its new id for some seconds, and requests to
    /// the old one are refused.
    pub fn mark_overtaken(&mut self) {
        let mut latest: BTreeMap<(SocketAddr, &str), (EndpointKey, ListedLife)> = BTreeMap::new();
        let mut overtaken: Vec<EndpointKey> = Vec::new();
        for (key, entry) in self.iter().filter(|(_, entry)| entry.is_listed()) {
            let told = entry.life.told();
            match latest.get(&place(entry)) {
                Some((_, known)) if !told.is_later_than(known) => overtaken.push(key),
                known => {
                    overtaken.extend(known.map(|(earlier, _)| *earlier));
                    latest.insert(place(entry), (key, told));
                }
            }
        }
        for entry in self.entries.values_mut() {
            entry.is_overtaken = false;
        }
        for key in overtaken {
            self.entries[key].is_overtaken = true;
        }
    }

    /// Key of the endpoint that is at an address now, of those that `may_be` admits.
    ///
    /// The entry of one that crashed may still be there beside that of its successor:
    /// the one born later is present, or the one that was listed last. One whose entry
    /// only went is present where no other is.
    pub fn present_at(
        &self,
        address: SocketAddr,
        may_be: impl Fn(&EndpointEntry) -> bool,
    ) -> Option<EndpointKey> {
        let is_there = |entry: &EndpointEntry| {
            entry.address == address && entry.may_be_there() && may_be(entry)
        };
        let mut present: Option<(EndpointKey, &EndpointEntry)> = None;
        for (key, entry) in self.iter().filter(|(_, entry)| is_there(entry)) {
            if present.is_none_or(|(_, known)| !goes_before(known, entry)) {
                present = Some((key, entry));
            }
        }
        present.map(|(key, _)| key)
    }

    /// Keys of the endpoints that are at their addresses now, of those that `may_be` admits;
    /// see [`EndpointBook::present_at`]. One pass for all, as greetings go out several times
    /// a second.
    pub fn present(
        &self,
        may_be: impl Fn(&EndpointEntry) -> bool,
    ) -> BTreeMap<SocketAddr, EndpointKey> {
        let is_there = |entry: &EndpointEntry| entry.may_be_there() && may_be(entry);
        let mut present: BTreeMap<SocketAddr, EndpointKey> = BTreeMap::new();
        for (key, entry) in self.iter().filter(|(_, entry)| is_there(entry)) {
            let known = present.get(&entry.address).and_then(|key| self.get(*key));
            if known.is_none_or(|known| !goes_before(known, entry)) {
                present.insert(entry.address, key);
            }
        }
        present
    }
}

/// Whether the one of two endpoints at an address is present rather than the other.
fn goes_before(
    one: &EndpointEntry,
    other: &EndpointEntry,
) -> bool {
    match one.is_listed() == other.is_listed() {
        true => one.life.told().is_later_than(&other.life.told()),
        false => one.is_listed(),
    }
}

fn place(entry: &EndpointEntry) -> (SocketAddr, &str) {
    (entry.address, entry.service.as_str())
}
