use {
    super::{fnv1a_hash, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{
            reader_draw, stable_fraction, ProofTracker, ProvenTable, ReaderTier, StoreProof,
        },
        time::Micros,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
    std::collections::BTreeMap,
};

/// Fronts up to which questions for changes are held at the store.
const HELD_FRONTS: u32 = 8;
/// How often a front that others tell looks whether it must read itself.
const LOOK_PAUSE: Micros = Micros::from_millis(100);
/// Longest wait of a front that has just heard of something newer: not all read at once.
const NEWS_SPREAD: Micros = Micros::from_millis(120);
/// Time for which a content that was not found at the store is not looked for again.
const REFUTED_FOR: Micros = Micros::from_secs(2);
/// Time after which a front that hears no process beside an engine reads by itself.
const UNHEARD_AFTER: Micros = Micros::from_millis(1_500);
/// Time between two questions to a store that is lost, of fronts that others will tell when it
/// is back.
const LOST_PAUSE: Micros = Micros::from_millis(3_000);

/// What is known of who has read one table, and when.
#[derive(Debug, Clone, Default)]
pub(crate) struct TableProofs {
    book: ProofTracker,
    /// Content that is known here.
    mark: Option<u32>,
    /// When the question of the last own reading was sent.
    read_at: Option<Micros>,
    /// A content that others told and that the store did not show.
    refuted: Option<(u32, Micros)>,
    /// How soon this front reads it, as it was last logged.
    tier: Option<ReaderTier>,
}

impl TableProofs {
    /// When the newest question was sent that shows the content that is known to be the newest:
    /// an own one, or one of which two others tell.
    pub fn proven_at(&self) -> Option<Micros> {
        self.read_at.max(self.witnessed_at())
    }

    /// When the newest question was sent of which anybody tells, whatever it showed.
    pub fn newest_told(&self) -> Option<Micros> {
        self.book.newest_sent_at()
    }

    /// When the newest question was sent of which two others tell.
    pub fn witnessed_at(&self) -> Option<Micros> {
        self.mark.and_then(|mark| self.book.confirmed_at(mark))
    }

    /// Another content that somebody has read since.
    fn behind(
        &self,
        now: Micros,
    ) -> Option<u32> {
        let known_at = self.proven_at()?;
        let other = self.book.newer_checksum(self.mark?, known_at)?;
        let is_refuted = self
            .refuted
            .is_some_and(|(mark, at)| mark == other && now.since(at) < REFUTED_FOR);
        (!is_refuted).then_some(other)
    }
}

/// What is known of who has read which table.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreReaders {
    tables: BTreeMap<ProvenTable, TableProofs>,
    has_news: bool,
}

impl StoreReaders {
    /// Takes a proof that `teller` told, of a question that had been sent at `sent_at` or
    /// before.
    pub fn hear(
        &mut self,
        proof: &StoreProof,
        teller: u32,
        sent_at: Micros,
    ) {
        let table = self.tables.entry(proof.table).or_default();
        table.book.record(proof, teller, sent_at);
    }

    /// Takes that this front has read a table whole, or all that changed in it: its content is
    /// `mark`.
    pub fn note_read(
        &mut self,
        table: ProvenTable,
        mark: u32,
        sent_at: Micros,
        now: Micros,
    ) {
        let table = self.tables.entry(table).or_default();
        if let Some(other) = table.behind(now).filter(|other| *other != mark) {
            table.refuted = Some((other, now));
        }
        table.mark = Some(mark);
        table.read_at = table.read_at.max(Some(sent_at));
        self.has_news = true;
    }

    /// Whether this front has read something since it was last asked.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Takes how soon this front reads a table; true where that is news.
    fn note_tier(
        &mut self,
        table: ProvenTable,
        tier: ReaderTier,
    ) -> bool {
        let known = &mut self.tables.entry(table).or_default().tier;
        known.replace(tier) != Some(tier)
    }

    /// What is known of one table.
    pub fn table(
        &self,
        table: ProvenTable,
    ) -> Option<&TableProofs> {
        self.tables.get(&table)
    }

    /// Own readings, to be told to others.
    pub fn own_proofs(
        &self,
        source: u32,
        longest: Micros,
        now: Micros,
    ) -> Vec<StoreProof> {
        let proofs = self.tables.iter().filter_map(|(table, proofs)| {
            let age = now.since(proofs.read_at?);
            let checksum = proofs.mark?;
            (age <= longest).then_some(StoreProof {
                table: *table,
                checksum,
                source,
                age,
            })
        });
        proofs.collect()
    }
}

/// The number under which this front's readings are told.
pub(super) fn reader_number(front: &FrontContext) -> u32 {
    fnv1a_hash(&front.settings.box_id) as u32
}

/// How soon this front reads a table itself.
pub(super) fn own_tier(
    front: &FrontContext,
    state: &FrontState,
    table: ProvenTable,
) -> ReaderTier {
    let now = front.now();
    if state
        .heard_at
        .is_none_or(|at| now.since(at) > UNHEARD_AFTER)
    {
        // Nobody tells it anything.
        return ReaderTier::First;
    }
    ReaderTier::from_draw(reader_draw(&front.settings.box_id, table), state.fronts)
}

/// A reader of one table between two readings.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadWait {
    /// Table.
    pub table: ProvenTable,
    /// Time between two readings of a front that reads all the time; nothing where its
    /// questions are held at the store.
    pub usual: Option<Micros>,
    /// Time between two of them in any case: what is known is good for some times that.
    pub bound: Micros,
    /// When the last question was sent.
    pub last: Micros,
    /// Whether it had no answer.
    pub is_lost: bool,
    /// Whether the table is to be trusted again, which only own readings show.
    pub is_troubled: bool,
}

impl ReadWait {
    /// Whether this front has to read now: all the time, unless others read it too and tell.
    fn is_due(
        &self,
        front: &FrontContext,
        now: Micros,
    ) -> bool {
        let state = front.state();
        let tier = own_tier(front, &state, self.table);
        let waited = now.since(self.last);
        if tier == ReaderTier::First || (self.is_troubled && !self.is_lost) {
            return self.usual.is_none_or(|usual| waited >= usual);
        }
        let proofs = state.readers.table(self.table);
        let known_at = proofs.and_then(TableProofs::proven_at);
        let patience = Micros(self.bound.0 * tier.max_age_percent() / 100);
        let is_old = known_at.is_none_or(|at| now.since(at) >= patience);
        if !self.is_lost {
            return is_old && waited >= LOOK_PAUSE;
        }
        // Others have read it since: it may be back.
        let is_back = known_at > Some(self.last);
        (is_back && waited >= self.bound) || (is_old && waited >= LOST_PAUSE)
    }

    /// Waits until this front has to read, or somebody has read something newer.
    pub async fn wait(
        self,
        front: &FrontContext,
    ) {
        log_tier(front, self.table);
        while !self.is_due(front, front.now()) {
            if self.is_behind(front) {
                let spread = NEWS_SPREAD.0 as f64 * stable_fraction(&front.settings.box_id);
                Timer::after(to_duration(Micros(spread as u64))).await;
                return;
            }
            front.rest(LOOK_PAUSE).await;
        }
    }

    fn is_behind(
        &self,
        front: &FrontContext,
    ) -> bool {
        let now = front.now();
        let state = front.state();
        let proofs = state.readers.table(self.table);
        proofs.is_some_and(|proofs| proofs.behind(now).is_some())
    }
}

/// Whether fronts that read all the time have their questions held at the store: many of them
/// ask at once, as others go by the age of what they read.
pub(super) fn are_held(state: &FrontState) -> bool {
    state.fronts <= HELD_FRONTS
}

fn log_tier(
    front: &FrontContext,
    table: ProvenTable,
) {
    let mut state = front.state();
    let tier = own_tier(front, &state, table);
    if state.readers.note_tier(table, tier) {
        let (table, tier) = (format!("{table:?}"), format!("{tier:?}"));
        log::info!(
            event = "reader-tier",
            table = table.as_str(),
            tier = tier.as_str(),
            fronts = state.fronts;
            ""
        );
    }
}
