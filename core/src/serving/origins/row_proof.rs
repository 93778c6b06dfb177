use crate::{
    serving::{StoreEra, StorePosition, REWRITE_DELAY},
    time::Micros,
};

/// Latest era of a store that has never been restored.
const FIRST_ERA: StoreEra = StoreEra(1);

/// The row that names the era of the store in which the rows of recorded software were last known to
/// be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofRow {
    /// The era.
    pub era: StoreEra,
    /// Position of the row.
    pub position: StorePosition,
}

/// Whether the rows of recorded software are complete: a store that is restored from a snapshot lacks
/// the latest ones. A process knows if a row says so for the era of the store, if it knew them before
/// the restore, or if it has watched the endpoints for longer than streams run.
#[derive(Debug, Default)]
pub(super) struct RowProof {
    /// Latest known era of the store, and when it was first seen.
    era: StoreEra,
    seen_at: Option<Micros>,
    /// The row as read last, and the era of that read.
    row: Option<ProofRow>,
    row_read_in: Option<StoreEra>,
    is_proven: bool,
    /// Since when the endpoints of a current list have been looked at without a gap.
    watched_since: Option<Micros>,
    /// When the latest suspension of the process ended.
    gap_ended_at: Option<Micros>,
    /// When the software of all routes was last wanted, for the row of the present era.
    completed_at: Option<Micros>,
}

impl RowProof {
    /// Whether the rows list all software on which streams that may still run have begun.
    pub(super) fn is_proven(&self) -> bool {
        self.is_proven
    }

    /// Whether the store has been restored since this position was read.
    pub(super) fn is_outdated(
        &self,
        position: StorePosition,
    ) -> bool {
        position.era < self.era
    }

    /// When the present era was first seen.
    pub(super) fn seen_at(&self) -> Option<Micros> {
        self.seen_at
    }

    /// Records the era of an answer. Software that was in use `retention` ago may still matter.
    pub(super) fn record_era(
        &mut self,
        era: StoreEra,
        retention: Micros,
        now: Micros,
    ) {
        if self.seen_at.is_some() && era <= self.era {
            return;
        }
        self.era = era;
        self.seen_at = Some(now);
        self.completed_at = None;
        // What others recorded during a gap may be lost.
        let gap_ended_at = self.gap_ended_at;
        if gap_ended_at.is_some_and(|at| now.since(at) < retention + REWRITE_DELAY) {
            self.is_proven = false;
        }
    }

    /// Records the row, as read in this era.
    pub(super) fn record_row(
        &mut self,
        row: Option<ProofRow>,
        era: StoreEra,
    ) {
        if era >= self.era {
            self.row = row;
            self.row_read_in = Some(era);
        }
    }

    /// Whether the row says that the rows are complete; a store that has never been restored needs
    /// none.
    pub(super) fn is_recorded(&self) -> bool {
        let is_read = self.row_read_in == Some(self.era);
        let is_current = match self.row {
            Some(row) => row.era == self.era,
            None => self.era <= FIRST_ERA,
        };
        is_read && is_current
    }

    /// Records that all rows have been read after the row of this proof.
    pub(super) fn finish_read(&mut self) {
        self.is_proven |= self.is_recorded();
    }

    /// Records a look at the endpoints, which are those of a current list or of an older one.
    pub(super) fn record_look(
        &mut self,
        was_suspended: bool,
        is_current: bool,
        retention: Micros,
        now: Micros,
    ) {
        if was_suspended {
            self.gap_ended_at = Some(now);
        }
        if was_suspended || !is_current || self.watched_since.is_none() {
            self.watched_since = Some(now);
        }
        let watched = self.watched_since.map(|since| now.since(since));
        let is_read = self.seen_at.is_some();
        self.is_proven |= is_read && watched >= Some(retention + REWRITE_DELAY);
    }

    /// Whether the rows of all routes are to be completed, so that the row can be written.
    pub(super) fn is_completion_due(
        &self,
        now: Micros,
    ) -> bool {
        // Endpoints have written their entries again by then.
        let is_rewritten = self.seen_at.is_some_and(|at| now >= at + REWRITE_DELAY);
        self.is_proven && !self.is_recorded() && self.completed_at.is_none() && is_rewritten
    }

    /// Records that software is wanted on all routes on which streams may have begun there.
    pub(super) fn record_completion(
        &mut self,
        now: Micros,
    ) {
        self.completed_at = Some(now);
    }

    /// Whether the row is to be written once the rows of all routes are complete.
    pub(super) fn is_row_due(&self) -> bool {
        self.is_proven && !self.is_recorded() && self.completed_at.is_some()
    }

    /// Whether the row has been read in the present era.
    pub(super) fn is_row_read(&self) -> bool {
        self.row_read_in == Some(self.era)
    }

    /// The row to be written, and the position of the one that it replaces.
    pub(super) fn due_row(&self) -> (StoreEra, Option<StorePosition>) {
        (self.era, self.row.map(|row| row.position))
    }
}
