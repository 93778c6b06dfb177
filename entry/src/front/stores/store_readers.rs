use {
    crate::front::{fnv1a_hash, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{reader_fraction, ProofTracker, ProvenTable, ReaderTier, StoreProof},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
    std::collections::BTreeMap,
};

/// Number of fronts up to which long polls are used.
const MAX_LONG_POLL_FRONTS: u32 = 8;
/// Interval at which a front that relies on the reads of others checks whether it must read itself.
const CHECK_INTERVAL: Micros = Micros::from_millis(100);
/// Maximum delay of a read after a report of newer content, so that fronts do not all read at once.
const MAX_READ_JITTER: Micros = Micros::from_millis(120);
/// Time for which reported content that the store did not show is ignored.
const REFUTED_TTL: Micros = Micros::from_secs(2);
/// Time without digests after which a front reads the table itself.
const DIGEST_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Interval between two requests to an unreachable store for fronts that others notify when it is
/// reachable again.
const UNREACHABLE_INTERVAL: Micros = Micros::from_millis(3_000);

/// Known reads of one table, by this front and others.
#[derive(Debug, Clone, Default)]
pub(crate) struct TableProofs {
    tracker: ProofTracker,
    /// Checksum of the content known to this front.
    checksum: Option<u32>,
    /// When the request of this front's last read was sent.
    read_at: Option<Micros>,
    /// Checksum reported by others that the store did not show, and when it was found missing.
    refuted: Option<(u32, Micros)>,
    /// Reader tier of this front, as last logged.
    tier: Option<ReaderTier>,
}

impl TableProofs {
    /// Send time of the newest request that showed the known content to be the newest, by this
    /// front or confirmed by two others.
    pub fn proven_at(&self) -> Option<Micros> {
        self.read_at.max(self.confirmed_at())
    }

    /// Send time of the newest reported request, whatever it showed.
    pub fn newest_reported_at(&self) -> Option<Micros> {
        self.tracker.newest_sent_at()
    }

    /// Send time of the newest request that two other fronts confirm.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.checksum
            .and_then(|checksum| self.tracker.confirmed_at(checksum))
    }

    /// Whether another front has read different content since.
    pub fn is_outdated(
        &self,
        now: Micros,
    ) -> bool {
        self.newer_checksum(now).is_some()
    }

    /// Checksum of different content that another front has read since.
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

    /// Checksum of newer content that a read sent at `sent_at` should have shown, and did not. One
    /// that was reported while the read was pending may be newer than its answer.
    fn missing_checksum(
        &self,
        checksum: u32,
        sent_at: Micros,
    ) -> Option<u32> {
        let (known, known_at) = (self.checksum?, self.proven_at()?);
        let other = self.tracker.checksum_between(known, known_at, sent_at);
        other.filter(|other| *other != checksum)
    }
}

/// Known reads of all tables.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreReaders {
    tables: BTreeMap<ProvenTable, TableProofs>,
    has_new_reads: bool,
}

impl StoreReaders {
    /// Records a proof from `reporter` for a request sent no later than `sent_at`.
    pub fn record_report(
        &mut self,
        proof: &StoreProof,
        reporter: u32,
        sent_at: Micros,
    ) {
        let table = self.tables.entry(proof.table).or_default();
        table.tracker.record(proof, reporter, sent_at);
    }

    /// Records that this front has read a table completely, or all its changes. `checksum` is that
    /// of the content.
    pub fn record_read(
        &mut self,
        table: ProvenTable,
        checksum: u32,
        sent_at: Micros,
        now: Micros,
    ) {
        let table = self.tables.entry(table).or_default();
        if let Some(other) = table.missing_checksum(checksum, sent_at) {
            table.refuted = Some((other, now));
        }
        table.checksum = Some(checksum);
        table.read_at = table.read_at.max(Some(sent_at));
        self.has_new_reads = true;
    }

    /// Whether this front has read a table since the last call.
    pub fn take_has_new_reads(&mut self) -> bool {
        std::mem::take(&mut self.has_new_reads)
    }

    /// Sets the reader tier of a table. Returns whether it changed.
    fn update_tier(
        &mut self,
        table: ProvenTable,
        tier: ReaderTier,
    ) -> bool {
        let current_tier = &mut self.tables.entry(table).or_default().tier;
        current_tier.replace(tier) != Some(tier)
    }

    /// Known reads of one table.
    pub fn table(
        &self,
        table: ProvenTable,
    ) -> Option<&TableProofs> {
        self.tables.get(&table)
    }

    /// Own reads, to be reported to others.
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

/// Id under which this front's reads are reported.
pub(crate) fn reader_id(front: &FrontContext) -> u32 {
    fnv1a_hash(&front.settings.box_id) as u32
}

/// Reader tier of this front for a table: how soon it reads the table itself.
pub(crate) fn own_tier(
    front: &FrontContext,
    state: &FrontState,
    table: ProvenTable,
) -> ReaderTier {
    let now = front.now();
    if state
        .last_digest_at
        .is_none_or(|at| now.since(at) > DIGEST_TIMEOUT)
    {
        // No agent reports the reads of others. A front that has just started does not know yet
        // whether there are agents; once it has read the table, it need not read it again at once.
        let is_starting = state.last_digest_at.is_none() && now < DIGEST_TIMEOUT;
        let read_at = state.readers.table(table).and_then(TableProofs::proven_at);
        return match is_starting && read_at.is_some() {
            true => ReaderTier::Second,
            false => ReaderTier::First,
        };
    }
    ReaderTier::from_fraction(reader_fraction(&front.settings.box_id, table), state.fronts)
}

/// Decides when a table is read next.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadSchedule {
    /// Table to read.
    pub table: ProvenTable,
    /// Interval of a front in the first tier. `None` if it reads continuously, as with long polls.
    pub interval: Option<Micros>,
    /// Base interval of the other tiers: known content stays valid for a multiple of it.
    pub max_interval: Micros,
    /// Age of the known content that no front exceeds because it relies on the reads of others.
    pub max_age: Micros,
    /// When the last request was sent.
    pub last_sent_at: Micros,
    /// Whether the last request failed.
    pub is_unreachable: bool,
    /// Whether the table must become reliable again, which only reads by this front prove.
    pub needs_own_reads: bool,
}

impl ReadSchedule {
    /// Whether a read is due. A front in the first tier reads continuously; the others rely on
    /// reported reads until these get too old.
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
        let tier_age = Micros(self.max_interval.0 * tier.max_age_percent() / 100);
        let max_age = tier_age.min(self.max_age);
        let is_old = known_at.is_none_or(|at| now.since(at) >= max_age);
        if !self.is_unreachable {
            return is_old && elapsed >= CHECK_INTERVAL;
        }
        // Another front has read it since, so the store may be reachable again.
        let is_back = known_at > Some(self.last_sent_at);
        (is_back && elapsed >= self.max_interval) || (is_old && elapsed >= UNREACHABLE_INTERVAL)
    }

    /// Waits until a read is due or another front has reported newer content.
    pub async fn wait(
        self,
        front: &FrontContext,
    ) {
        log_tier(front, self.table);
        while !self.is_due(front, front.now()) {
            if self.is_outdated(front) {
                Timer::after(to_duration(front.spread_delay(MAX_READ_JITTER))).await;
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
        proofs.is_some_and(|proofs| proofs.is_outdated(now))
    }
}

/// Whether fronts in the first tier use long polls. If there are many fronts, these poll without
/// waiting at the store, since the others rely on the age of their reads.
pub(crate) fn uses_long_polls(state: &FrontState) -> bool {
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
