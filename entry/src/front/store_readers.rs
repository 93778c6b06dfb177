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
const MAX_LONG_POLL_FRONTS: u32 = 8;
/// How often a front that others tell looks whether it must read itself.
const CHECK_INTERVAL: Micros = Micros::from_millis(100);
/// Longest wait of a front that has just heard of something newer: not all read at once.
const MAX_READ_JITTER: Micros = Micros::from_millis(120);
/// Time for which a content that was not found at the store is not looked for again.
const REFUTED_TTL: Micros = Micros::from_secs(2);
/// Time after which a front that hears no process beside an engine reads by itself.
const DIGEST_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Time between two questions to a store that is lost, of fronts that others will tell when it
/// is back.
const UNREACHABLE_INTERVAL: Micros = Micros::from_millis(3_000);

/// What is known of who has read one table, and when.
#[derive(Debug, Clone, Default)]
pub(crate) struct TableProofs {
    tracker: ProofTracker,
    /// Content that is known here.
    checksum: Option<u32>,
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
        self.read_at.max(self.confirmed_at())
    }

    /// When the newest question was sent of which anybody tells, whatever it showed.
    pub fn newest_reported_at(&self) -> Option<Micros> {
        self.tracker.newest_sent_at()
    }

    /// When the newest question was sent of which two others tell.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.checksum.and_then(|checksum| self.tracker.confirmed_at(checksum))
    }

    /// Another content that somebody has read since.
    fn newer_checksum(
        &self,
        now: Micros,
    ) -> Option<u32> {
        let known_at = self.proven_at()?;
        let other = self.tracker.newer_checksum(self.checksum?, known_at)?;
        let is_refuted = self
            .refuted
            .is_some_and(|(checksum, at)| checksum == other && now.since(at) < REFUTED_TTL);
        (!is_refuted).then_some(other)
    }
}

/// What is known of who has read which table.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreReaders {
    tables: BTreeMap<ProvenTable, TableProofs>,
    has_new_reads: bool,
}

impl StoreReaders {
    /// Takes a proof that `teller` told, of a question that had been sent at `sent_at` or
    /// before.
    pub fn record_report(
        &mut self,
        proof: &StoreProof,
        reporter: u32,
        sent_at: Micros,
    ) {
        let table = self.tables.entry(proof.table).or_default();
        table.tracker.record(proof, reporter, sent_at);
    }

    /// Takes that this front has read a table whole, or all that changed in it: its content is
    /// `mark`.
    pub fn record_read(
        &mut self,
        table: ProvenTable,
        checksum: u32,
        sent_at: Micros,
        now: Micros,
    ) {
        let table = self.tables.entry(table).or_default();
        if let Some(other) = table.newer_checksum(now).filter(|other| *other != checksum) {
            table.refuted = Some((other, now));
        }
        table.checksum = Some(checksum);
        table.read_at = table.read_at.max(Some(sent_at));
        self.has_new_reads = true;
    }

    /// Whether this front has read something since it was last asked.
    pub fn take_has_new_reads(&mut self) -> bool {
        std::mem::take(&mut self.has_new_reads)
    }

    /// Takes how soon this front reads a table; true where that is news.
    fn update_tier(
        &mut self,
        table: ProvenTable,
        tier: ReaderTier,
    ) -> bool {
        let current_tier = &mut self.tables.entry(table).or_default().tier;
        current_tier.replace(tier) != Some(tier)
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
        max_age: Micros,
        now: Micros,
    ) -> Vec<StoreProof> {
        let proofs = self.tables.iter().filter_map(|(table, proofs)| {
            let age = now.since(proofs.read_at?);
            let checksum = proofs.checksum?;
            (age <= max_age).then_some(StoreProof {
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
pub(super) fn reader_id(front: &FrontContext) -> u32 {
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
        .last_digest_at
        .is_none_or(|at| now.since(at) > DIGEST_TIMEOUT)
    {
        // Nobody tells it anything.
        return ReaderTier::First;
    }
    ReaderTier::from_draw(reader_draw(&front.settings.box_id, table), state.fronts)
}

/// A reader of one table between two readings.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadSchedule {
    /// Table.
    pub table: ProvenTable,
    /// Time between two readings of a front that reads all the time; nothing where its
    /// questions are held at the store.
    pub interval: Option<Micros>,
    /// Time between two of them in any case: what is known is good for some times that.
    pub max_interval: Micros,
    /// When the last question was sent.
    pub last_sent_at: Micros,
    /// Whether it had no answer.
    pub is_unreachable: bool,
    /// Whether the table is to be trusted again, which only own readings show.
    pub needs_own_reads: bool,
}

impl ReadSchedule {
    /// Whether this front has to read now: all the time, unless others read it too and tell.
    fn is_due(
        &self,
        front: &FrontContext,
        now: Micros,
    ) -> bool {
        let state = front.state();
        let tier = own_tier(front, &state, self.table);
        let elapsed = now.since(self.last_sent_at);
        if tier == ReaderTier::First || (self.needs_own_reads && !self.is_unreachable) {
            return self.interval.is_none_or(|interval| elapsed >= interval);
        }
        let proofs = state.readers.table(self.table);
        let known_at = proofs.and_then(TableProofs::proven_at);
        let max_age = Micros(self.max_interval.0 * tier.max_age_percent() / 100);
        let is_old = known_at.is_none_or(|at| now.since(at) >= max_age);
        if !self.is_unreachable {
            return is_old && elapsed >= CHECK_INTERVAL;
        }
        // Others have read it since: it may be back.
        let is_back = known_at > Some(self.last_sent_at);
        (is_back && elapsed >= self.max_interval) || (is_old && elapsed >= UNREACHABLE_INTERVAL)
    }

    /// Waits until this front has to read, or somebody has read something newer.
    pub async fn wait(
        self,
        front: &FrontContext,
    ) {
        log_tier(front, self.table);
        while !self.is_due(front, front.now()) {
            if self.is_outdated(front) {
                let jitter = MAX_READ_JITTER.0 as f64 * stable_fraction(&front.settings.box_id);
                Timer::after(to_duration(Micros(jitter as u64))).await;
                return;
            }
            front.sleep_coalesced(CHECK_INTERVAL).await;
        }
    }

    fn is_outdated(
        &self,
        front: &FrontContext,
    ) -> bool {
        let now = front.now();
        let state = front.state();
        let proofs = state.readers.table(self.table);
        proofs.is_some_and(|proofs| proofs.newer_checksum(now).is_some())
    }
}

/// Whether fronts that read all the time have their questions held at the store: many of them
/// ask at once, as others go by the age of what they read.
pub(super) fn uses_long_polls(state: &FrontState) -> bool {
    state.fronts <= MAX_LONG_POLL_FRONTS
}

fn log_tier(
    front: &FrontContext,
    table: ProvenTable,
) {
    let mut state = front.state();
    let tier = own_tier(front, &state, table);
    if state.readers.update_tier(table, tier) {
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
