use {super::LeaseRow, crate::time::Micros};

/// Timing of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long a renewal is valid, counted from before its write is sent.
    pub duration: Micros,
    /// How often the holder renews the lease and other processes read it.
    pub interval: Micros,
    /// Extra time that other processes wait before they take over, to allow for clock drift.
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

/// Action for the host to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing to do now.
    Wait,
    /// Read the lease row.
    Read,
    /// Replace the row if its table version is still `version`.
    Write {
        /// Table version that was read; zero if there is no row.
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

/// State machine of one process for one lease, without I/O.
///
/// A lost response to a write is safe: the next read shows whether the write took
/// effect, and the lease duration counts from before the write.
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
    /// Creates a machine that does not hold the lease.
    ///
    /// `own_id` must be unique to this incarnation of the process: a restarted process is
    /// a different holder.
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

    /// Epoch under which this process may issue orders at `now`; `None` without a valid lease.
    pub fn epoch(
        &self,
        now: Micros,
    ) -> Option<u64> {
        let held = self.held?;
        (now < held.valid_until).then_some(held.epoch)
    }

    /// Returns the next action. The host reports its outcome with one of the methods below.
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
            renewed.renewals = row.renewals.wrapping_add(1);
            return Some(renewed);
        }
        let takeover_delay = self.times.duration + self.times.margin;
        let expired = now.since(seen.unchanged_since) >= takeover_delay;
        if row.holder.is_empty() || expired {
            return Some(LeaseRow {
                holder: self.own_id.clone(),
                epoch: row.epoch.saturating_add(1),
                renewals: 0,
            });
        }
        None
    }

    /// Handles a completed read that was sent at `requested_at`.
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
        // A free row can be acquired and an own lease renewed at once; a lease held by another
        // process has to expire first.
        if row.holder.is_empty() || row.holder == self.own_id {
            self.next_step = requested_at;
        }
        self.seen = Some(SeenRow {
            row,
            version,
            unchanged_since,
        });
    }

    /// Handles a successful write, which gave the row a new table version.
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

    /// Handles a write rejected because the row had changed; the row is read again.
    pub fn on_write_conflict(&mut self) {
        self.pending_since = None;
        self.pending_row = None;
        self.held = None;
        self.seen = None;
        self.next_step = Micros::ZERO;
    }

    /// Handles a write with an unknown outcome; the row is read again.
    pub fn on_write_unknown(&mut self) {
        self.seen = None;
        self.next_step = Micros::ZERO;
    }

    /// Gives up the lease immediately. Returns the write that frees the row, if this
    /// process holds it.
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
