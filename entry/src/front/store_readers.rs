use {
    super::{spread_number, spread_part, FrontContext, FrontState},
    pitchhitch_core::{
        serving::{reader_text, ProofBook, ProvenTable, ReaderTier, StorePosition, StoreProof},
        time::Micros,
    },
    pitchhitch_process::to_duration,
    smol::Timer,
    std::collections::BTreeMap,
};

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
    book: ProofBook,
    /// Content that is known here.
    mark: Option<u32>,
    /// When the question of the last own reading was sent.
    read_at: Option<Micros>,
    /// A content that others told and that the store did not show.
    refuted: Option<(u32, Micros)>,
}

impl TableProofs {
    /// When the newest question was sent that shows the content that is known to be the newest:
    /// an own one, or one of which two others tell.
    pub fn proven_at(&self) -> Option<Micros> {
        self.read_at.max(self.witnessed_at())
    }

    /// When the newest question was sent of which two others tell.
    pub fn witnessed_at(&self) -> Option<Micros> {
        self.mark.and_then(|mark| self.book.witnessed(mark))
    }

    /// Another content that somebody has read since.
    fn behind(
        &self,
        now: Micros,
    ) -> Option<u32> {
        let known_at = self.proven_at()?;
        let other = self.book.other_since(self.mark?, known_at)?;
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
        table.book.hear(proof, teller, sent_at);
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
            let mark = proofs.mark?;
            (age <= longest).then_some(StoreProof {
                table: *table,
                mark,
                source,
                age,
            })
        });
        proofs.collect()
    }
}

/// The number under which this front's readings are told.
pub(super) fn reader_number(front: &FrontContext) -> u32 {
    spread_number(&front.settings.box_id) as u32
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
    let draw = spread_part(spread_number(&reader_text(&front.settings.box_id, table)));
    ReaderTier::of(draw, state.fronts)
}

/// Waits until this front has to read a table itself: at once, unless others read it too and
/// tell. `usual` is the time between two readings of those who read all the time.
pub(super) async fn wait_to_read(
    front: &FrontContext,
    table: ProvenTable,
    seen: Option<StorePosition>,
    usual: Micros,
    is_lost: bool,
) {
    if seen.is_none() && !is_lost {
        return;
    }
    let from = front.now();
    loop {
        let now = front.now();
        let (is_due, is_behind) = {
            let state = front.state();
            let tier = own_tier(front, &state, table);
            let proofs = state.readers.table(table);
            let known_at = proofs.and_then(TableProofs::proven_at);
            let age = known_at.map(|at| now.since(at));
            let patience = Micros(usual.0 * tier.patience() / 100);
            let is_old = age.is_none_or(|age| age >= patience);
            let has_waited = !is_lost || now.since(from) >= lost_pause(tier);
            let is_behind = proofs.is_some_and(|proofs| proofs.behind(now).is_some());
            (is_old && has_waited, is_behind)
        };
        if is_behind {
            let part = spread_part(spread_number(&front.settings.box_id));
            Timer::after(to_duration(Micros((NEWS_SPREAD.0 as f64 * part) as u64))).await;
            return;
        }
        if is_due {
            return;
        }
        Timer::after(to_duration(LOOK_PAUSE)).await;
    }
}

fn lost_pause(tier: ReaderTier) -> Micros {
    match tier {
        ReaderTier::First => Micros::ZERO,
        ReaderTier::Second | ReaderTier::Last => LOST_PAUSE,
    }
}
