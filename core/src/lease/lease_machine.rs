use {super::LeaseRow, crate::time::Micros};

/// Times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long a renewal lasts, counted from before it was sent.
    pub duration: Micros,
    /// How often the holder renews and the others look.
    pub interval: Micros,
    /// What the others wait on top, for clocks that run at different speeds.
    pub margin: Micros,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        LeaseTimes {
            duration: Micros::from_secs(9),
            interval: Micros::from_secs(3),
            margin: Micros::from_secs(1),
        }
    }
}

/// What the host is to do for a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing now.
    Wait,
    /// Read the row.
    Read,
    /// Replace the row if it still has this table version.
    Write {
        /// Table version that was read; zero when there is no row.
        version: u64,
        /// The new row.
        row: LeaseRow,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SeenRow {
    row: LeaseRow,
    version: u64,
    unchanged_since: Micros,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldLease {
    epoch: u64,
    valid_until: Micros,
}

/// One process's side of one lease, without I/O.
///
/// A lost answer to a write needs no special care: the next read shows whether
/// it took effect, and the time of the lease counts from before the write.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseMachine {
    own_id: String,
    times: LeaseTimes,
    seen: Option<SeenRow>,
    held: Option<HeldLease>,
    pending_since: Option<Micros>,
    pending_row: Option<LeaseRow>,
    next_step: Micros,
}

impl LeaseMachine {
    /// A machine that holds nothing yet.
    ///
    /// `own_id` must name this life of the process: a restarted process is another holder.
    pub fn new(
        own_id: impl Into<String>,
        times: LeaseTimes,
    ) -> Self {
        LeaseMachine {
            own_id: own_id.into(),
            times,
            seen: None,
            held: None,
            pending_since: None,
            pending_row: None,
            next_step: Micros::ZERO,
        }
    }

    /// The epoch under which this process may give orders at this moment.
    pub fn epoch(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let held = self.held?;
        (now < held.valid_until).then_some(held.epoch)
    }

    /// What to do now. The host reports the outcome by one of the methods below.
    pub fn step(
        &mut self,
        now: Micros,
    ) -> LeaseStep {
        if now < self.next_step {
            return LeaseStep::Wait;
        }
        self.next_step = now + self.times.interval;
        let Some(seen) = self.seen.clone() else {
            return LeaseStep::Read;
        };
        match self.next_row(&seen, now) {
            Some(row) => {
                self.pending_since = Some(now);
                self.pending_row = Some(row.clone());
                LeaseStep::Write {
                    version: seen.version,
                    row,
                }
            }
            None => LeaseStep::Read,
        }
    }

    fn next_row(
        &self,
        seen: &SeenRow,
        now: Micros,
    ) -> Option<LeaseRow> {
        let row = &seen.row;
        if row.holder == self.own_id {
            let mut renewed = row.clone();
            renewed.renewals += 1;
            return Some(renewed);
        }
        let takeover_delay = self.times.duration + self.times.margin;
        let lapsed = now.since(seen.unchanged_since) >= takeover_delay;
        if row.holder.is_empty() || lapsed {
            return Some(LeaseRow {
                holder: self.own_id.clone(),
                epoch: row.epoch + 1,
                renewals: 0,
            });
        }
        None
    }

    /// The row was read; `requested_at` is when the read was sent.
    pub fn on_row_read(
        &mut self,
        row: Option<LeaseRow>,
        version: u64,
        requested_at: Micros,
        now: Micros,
    ) {
        let row = row.unwrap_or_default();
        self.resolve_pending(&row);
        let unchanged = self
            .seen
            .as_ref()
            .filter(|s| s.version == version && s.row == row);
        let unchanged_since = unchanged.map_or(now, |s| s.unchanged_since);
        if self
            .held
            .is_some_and(|h| row.holder != self.own_id || row.epoch != h.epoch)
        {
            self.held = None;
        }
        // A free row may be taken at once; waiting is for rows that somebody holds.
        if row.holder.is_empty() || row.holder == self.own_id {
            self.next_step = requested_at;
        }
        self.seen = Some(SeenRow {
            row,
            version,
            unchanged_since,
        });
    }

    /// The row was replaced; the table gave it a new version.
    pub fn on_row_written(
        &mut self,
        version: u64,
        now: Micros,
    ) {
        let Some(row) = self.pending_row.take() else {
            return;
        };
        self.acquire(&row);
        self.pending_since = None;
        self.seen = Some(SeenRow {
            row,
            version,
            unchanged_since: now,
        });
    }

    /// The row had changed before the write; it must be read again.
    pub fn on_write_conflict(&mut self) {
        self.pending_since = None;
        self.pending_row = None;
        self.held = None;
        self.seen = None;
        self.next_step = Micros::ZERO;
    }

    /// Nobody knows whether the write took effect; the row must be read again.
    pub fn on_write_unknown(&mut self) {
        self.seen = None;
        self.next_step = Micros::ZERO;
    }

    /// Stops acting at once; gives the write that hands the lease back, if this process held it.
    pub fn release(&mut self) -> Option<LeaseStep> {
        self.held = None;
        let seen = self.seen.as_ref()?;
        if seen.row.holder != self.own_id {
            return None;
        }
        let mut row = seen.row.clone();
        row.holder.clear();
        Some(LeaseStep::Write {
            version: seen.version,
            row,
        })
    }

    fn resolve_pending(
        &mut self,
        row: &LeaseRow,
    ) {
        if self.pending_row.as_ref() == Some(row) {
            let row = row.clone();
            self.acquire(&row);
        }
        self.pending_row = None;
        self.pending_since = None;
    }

    fn acquire(
        &mut self,
        row: &LeaseRow,
    ) {
        let Some(since) = self.pending_since else {
            return;
        };
        self.held = Some(HeldLease {
            epoch: row.epoch,
            valid_until: since + self.times.duration,
        });
    }
}
